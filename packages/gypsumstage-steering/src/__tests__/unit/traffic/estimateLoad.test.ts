import assert from "node:assert/strict";
import { test } from "node:test";
import { choosesByStatedLoad } from "../../../traffic/choosesByStatedLoad.js";
import { decayStatedSlowness } from "../../../traffic/decayStatedSlowness.js";
import { estimateLoad } from "../../../traffic/estimateLoad.js";
import { updateLoadFigure } from "../../../traffic/updateLoadFigure.js";

const load = (running: number, waiting = 0): Parameters<typeof updateLoadFigure>[1] => ({
    running,
    waiting,
    slots: 4,
    slowness: 1,
});

test("old figure: own requests are counted as they are, the others' approach their average, the uncertainty grows", () => {
    const usual = updateLoadFigure(undefined, load(2), 0, 0);
    const figure = updateLoadFigure(usual, load(4, 4), 1_000, 1);
    const fresh = estimateLoad(figure, 1_000, 1, 0, 500);
    const old = estimateLoad(figure, 9_000, 3, 0, 500);
    assert.equal(fresh.inFlight, 8);
    assert.ok(old.inFlight > 5.5 && old.inFlight < 5.7, String(old.inFlight));
    assert.ok(old.deviation > 2 * fresh.deviation);
});

test("a figure that arrives after a newer one does not replace it; other instances' reports are a lower bound", () => {
    const newer = updateLoadFigure(undefined, load(1), 2_000, 0);
    assert.equal(updateLoadFigure(newer, load(4, 9), 1_000, 0), newer);
    assert.equal(estimateLoad(newer, 2_000, 1, 3, 500).inFlight, 4);
});

test("a stated slowness of some seconds ago is not held against an endpoint that is slow for moments only", () => {
    assert.equal(decayStatedSlowness(2.5, 1, 0), 2.5);
    assert.ok(decayStatedSlowness(2.5, 1, 2_000) < 1.05);
});

test("small fleets, where all report to all, go on placing by reports; one lost report does not change the rule", () => {
    const sources = { liveInstances: 8, reportedInstances: 8, statedEndpoints: 14 };
    assert.equal(choosesByStatedLoad(sources, false), false);
    assert.equal(choosesByStatedLoad({ ...sources, reportedInstances: 6 }, false), false);
    assert.equal(choosesByStatedLoad({ ...sources, liveInstances: 118, reportedInstances: 20 }, false), true);
    assert.equal(
        choosesByStatedLoad(
            { liveInstances: 118, reportedInstances: 20, statedEndpoints: 0 },
            true,
        ),
        false,
    );
});
