import assert from "node:assert/strict";
import { test } from "node:test";
import { findOpenUntil } from "../../../traffic/findOpenUntil.js";
import { listEndedRuns } from "../../../traffic/listEndedRuns.js";
import type { SuspectEvent } from "../../../traffic/SuspectEvent.js";
import type { SuspectRequest } from "../../../traffic/SuspectRequest.js";
import type { SuspectTable } from "../../../traffic/SuspectTable.js";
import { updateSuspects } from "../../../traffic/updateSuspects.js";

const HOUR_MS = 3_600_000;
const EMPTY: SuspectTable = new Map();

const createSuspect = (digest: string, runs: readonly string[], atMs = 0): SuspectRequest => ({
    digest,
    headHash: 1,
    endedAtMs: new Map(runs.map(run => [run, atMs])),
    answeredAtMs: undefined,
});

const ended = (digest: string, runs: readonly string[], atMs = 0): SuspectEvent => ({
    kind: "ended",
    suspect: createSuspect(digest, runs, atMs),
});

const apply = (events: readonly SuspectEvent[], table = EMPTY): SuspectTable =>
    events.reduce(updateSuspects, table);

const listRunsOf = (table: SuspectTable, digest: string): readonly string[] => {
    const suspect = table.get(digest);
    return suspect === undefined ? [] : [...listEndedRuns(suspect)].sort();
};

test("the ends that instances tell of each other add up, in any order, and the same one counts once", () => {
    const events = [ended("r", ["e-1"]), ended("r", ["e-2", "e-1"]), ended("r", ["e-3"])];
    assert.deepEqual(listRunsOf(apply(events), "r"), ["e-1", "e-2", "e-3"]);
    assert.deepEqual(listRunsOf(apply([...events].reverse()), "r"), ["e-1", "e-2", "e-3"]);
});

test("what is known already leaves the table as it is, so it is not spread again", () => {
    const table = apply([ended("r", ["e-1", "e-2"], 100)]);
    assert.equal(updateSuspects(table, ended("r", ["e-1"], 100)), table);
    assert.equal(updateSuspects(table, { kind: "answered", digest: "other", atMs: 100 }), table);
});

test("a success clears the ends before it, and only these; a repeated one changes nothing", () => {
    const before = apply([ended("r", ["e-1", "e-2"], 100)]);
    const cleared = updateSuspects(before, { kind: "answered", digest: "r", atMs: 200 });
    assert.deepEqual(listRunsOf(cleared, "r"), []);
    assert.equal(updateSuspects(cleared, { kind: "answered", digest: "r", atMs: 300 }), cleared);
    assert.deepEqual(listRunsOf(apply([ended("r", ["e-3"], 250)], cleared), "r"), ["e-3"]);
});

test("the number of requests that are remembered is bounded; those with the most ends stay", () => {
    const many = Array.from({ length: 5_000 }, (...[, index]) => ended(`r-${index}`, ["e-1"], index));
    const table = apply([ended("culprit", ["e-1", "e-2", "e-3"]), ...many]);
    assert.ok(table.size <= 1_000);
    assert.equal(listRunsOf(table, "culprit").length, 3);
});

test("the ends that are remembered of a request are bounded", () => {
    const many = Array.from({ length: 100 }, (...[, index]) => ended("r", [`e-${index}`], index));
    const suspect = apply(many).get("r");
    assert.ok(suspect && suspect.endedAtMs.size <= 8);
    assert.ok(suspect.endedAtMs.has("e-99"));
});

test("a request is forgotten some time after it may be sent again", () => {
    const table = apply([ended("r", ["e-1", "e-2", "e-3"])]);
    const openUntilMs = findOpenUntil(createSuspect("r", ["e-1", "e-2", "e-3"]));
    assert.equal(updateSuspects(table, { kind: "expired", nowMs: openUntilMs }).size, 1);
    assert.equal(updateSuspects(table, { kind: "expired", nowMs: HOUR_MS }).size, 0);
});

test("a request is refused for longer after each further end, up to a limit, and not at all after fewer than three", () => {
    const openMs = [1, 2, 3, 4, 5, 8].map(count =>
        findOpenUntil(createSuspect("r", Array.from({ length: count }, (...[, index]) => `e-${index}`)))
    );
    assert.deepEqual(openMs, [0, 0, 60_000, 120_000, 240_000, 600_000]);
});
