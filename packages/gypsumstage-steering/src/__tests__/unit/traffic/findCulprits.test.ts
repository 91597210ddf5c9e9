import assert from "node:assert/strict";
import { test } from "node:test";
import { findCulprits } from "../../../traffic/findCulprits.js";
import type { SuspectTable } from "../../../traffic/SuspectTable.js";

const createTable = (runsByDigest: Readonly<Record<string, readonly number[]>>): SuspectTable =>
    new Map(
        Object.entries(runsByDigest).map(([digest, runs]) => [digest, {
            digest,
            headHash: 1,
            endedAtMs: new Map(runs.map(run => [`e-${run}`, 0])),
            answeredAtMs: undefined,
        }]),
    );

const culpritsOf = (runsByDigest: Readonly<Record<string, readonly number[]>>): readonly string[] =>
    [...findCulprits(createTable(runsByDigest))].sort();

test("a request is held responsible from the third endpoint on that ended under it", () => {
    assert.deepEqual(culpritsOf({ a: [1, 2] }), []);
    assert.deepEqual(culpritsOf({ a: [1, 2, 3] }), ["a"]);
});

test("a request that was beside a culprit on three endpoints is not held responsible", () => {
    assert.deepEqual(culpritsOf({ culprit: [1, 2, 3, 4], beside: [2, 3, 4], rarely: [1] }), ["culprit"]);
});

test("of two requests with the same three ends neither is held responsible until another end tells them apart", () => {
    assert.deepEqual(culpritsOf({ a: [1, 2, 3], b: [1, 2, 3] }), []);
    assert.deepEqual(culpritsOf({ a: [1, 2, 3, 4], b: [1, 2, 3] }), ["a"]);
});

test("requests that always end endpoints together are all held responsible in the end", () => {
    const runs = [1, 2, 3, 4, 5, 6];
    assert.deepEqual(culpritsOf({ a: runs, b: runs }), ["a", "b"]);
});

test("several culprits are found at the same time, also with some ends in common", () => {
    assert.deepEqual(culpritsOf({ a: [1, 2, 3], b: [4, 5, 6] }), ["a", "b"]);
    assert.deepEqual(culpritsOf({ a: [1, 2, 3, 4, 5], b: [5, 6, 7, 8], beside: [1, 5, 6] }), ["a", "b"]);
});

test("requests in flight at many endpoints that are killed are not held responsible", () => {
    const inFlight = Object.fromEntries(
        Array.from(
            { length: 300 },
            (...[, index]) => [`r-${index}`, [index % 40, index % 7 === 0 ? 41 : index % 40]],
        ),
    );
    assert.deepEqual(culpritsOf(inFlight), []);
});
