import assert from "node:assert/strict";
import { test } from "node:test";
import type { PlacementOption } from "../../../traffic/PlacementOption.js";
import { placeRequest } from "../../../traffic/placeRequest.js";

const WORK_MS = 150;

const option = (id: string, fields: Partial<PlacementOption> = {}): PlacementOption => ({
    id,
    region: "kutch",
    slots: 6,
    inFlight: 0,
    isWarm: false,
    isHome: false,
    slowness: 1,
    errorShare: 0,
    roundTripMs: 2,
    ...fields,
});

const placedAt = (options: readonly PlacementOption[], remainingMs = 3_000): string | undefined => {
    const placement = placeRequest(options, WORK_MS, remainingMs);
    return placement.kind === "placed" ? placement.id : undefined;
};

test("full endpoints: a short queue at the warm place beats a free slot without the object's data", () => {
    assert.equal(placedAt([option("home", { isWarm: true, inFlight: 9 }), option("other")]), "home");
});

test("overload: the second place takes over once the queue at the first is long", () => {
    const home = option("home", { isWarm: true, inFlight: 17 });
    assert.equal(placedAt([home, option("other", { isWarm: true })]), "other");
});

test("overload: no request waits at a place without its object's data, also while the first place is full", () => {
    const home = option("home", { isWarm: true, inFlight: 18 });
    assert.equal(placedAt([home, option("other", { inFlight: 6 })]), undefined);
    assert.equal(placedAt([home, option("other", { inFlight: 5 })]), "other");
});

test("a queue of more than a request's work: a free slot at the second place at home takes over, elsewhere not", () => {
    const home = option("home", { isWarm: true, isHome: true, inFlight: 13 });
    assert.equal(placedAt([home, option("second", { isHome: true }), option("other")]), "second");
    assert.equal(placedAt([home, option("other")]), "home");
    assert.equal(placedAt([{ ...home, inFlight: 10 }, option("second", { isHome: true })]), "home");
});

test("slowed endpoint: work goes where it is done sooner, even without warm data", () => {
    assert.equal(placedAt([option("home", { isWarm: true, slowness: 8 }), option("other")]), "other");
});

test("failing endpoint: work goes elsewhere", () => {
    assert.equal(placedAt([option("home", { isWarm: true, errorShare: 0.9 }), option("other")]), "other");
});

test("no room at any place: refused at once, with a time at which there may be room", () => {
    const placement = placeRequest(
        [option("home", { inFlight: 18 }), option("other", { inFlight: 18 })],
        WORK_MS,
        3_000,
    );
    assert.equal(placement.kind, "no-room");
    assert.ok(placement.kind === "no-room" && placement.retryAfterMs >= 100);
});

test("a wait that is longer than the time left is refused at once", () => {
    assert.equal(placedAt([option("home", { isWarm: true, inFlight: 12 })], 100), undefined);
});

test("no endpoint at all is told apart from no room", () => {
    assert.equal(placeRequest([], WORK_MS, 1_000).kind, "no-endpoint");
});
