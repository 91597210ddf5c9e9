import assert from "node:assert/strict";
import { test } from "node:test";
import { refillQuotaBucket } from "../../../traffic/refillQuotaBucket.js";

const BUDGET = { ratePerSecond: 10, stock: 20 };
const BUCKET = { tokens: 1, refilledAtMs: 1_000, share: 0.5, shareUntilMs: 9_000 };

test("permits are added for monotonic time only, so that a step of the time of day adds none", () => {
    assert.equal(refillQuotaBucket(BUCKET, BUDGET, 6_000, 1_100).tokens, 1.5);
    assert.equal(refillQuotaBucket(BUCKET, BUDGET, 1_100, 1_100).tokens, 1.5);
    assert.equal(refillQuotaBucket(BUCKET, BUDGET, 9_000, 1_100).tokens, 0);
});
