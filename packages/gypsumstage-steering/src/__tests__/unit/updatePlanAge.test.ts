import assert from "node:assert/strict";
import { test } from "node:test";
import type { PlanAge } from "../../PlanAge.js";
import { updatePlanAge } from "../../updatePlanAge.js";

const START: PlanAge = { version: undefined, nonce: undefined, unchangedSinceMs: 0 };

test("another plan under a version that the platform gave out again does not take over the age of the earlier one", () => {
    const first = updatePlanAge(START, { version: 6, nonce: "a" }, 100);
    assert.equal(updatePlanAge(first, { version: 6, nonce: "a" }, 5_000), first);
    const restored = updatePlanAge(first, { version: 6, nonce: "b" }, 9_000);
    assert.equal(restored.unchangedSinceMs, 9_000);
});

test("a plan that is removed and written again is as old as its last write", () => {
    const first = updatePlanAge(START, { version: 6, nonce: "a" }, 100);
    const removed = updatePlanAge(first, undefined, 200);
    assert.equal(updatePlanAge(removed, { version: 6, nonce: "a" }, 300).unchangedSinceMs, 300);
});
