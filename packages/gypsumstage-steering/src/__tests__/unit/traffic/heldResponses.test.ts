/** Guards against slow callers that take all memory for responses, and against cutting off callers that read steadily. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseResponseToCut } from "../../../traffic/chooseResponseToCut.js";
import type { HeldResponse } from "../../../traffic/HeldResponse.js";
import { isReceiptPaused } from "../../../traffic/isReceiptPaused.js";

const LIMIT_BYTES = 1_000_000;
const NOW_MS = 10_000;
const sending = (progressAtMs: number): HeldResponse => ({
    isSending: true,
    bytes: 500_000,
    progressAtMs,
    isPaused: false,
});
const receiving = (bytes: number, isPaused: boolean): HeldResponse => ({
    isSending: false,
    bytes,
    progressAtMs: NOW_MS,
    isPaused,
});
const IDLE = sending(1_000);
const STEADY = sending(9_000);
const WAITING = receiving(100_000, true);

test("nobody is cut off while nothing waits, however long a caller reads nothing", () => {
    assert.equal(chooseResponseToCut([IDLE], LIMIT_BYTES, LIMIT_BYTES, NOW_MS), undefined);
});

test("while responses wait, the caller that has been idle longest is cut off, and none that reads", () => {
    const responses = [STEADY, sending(2_000), IDLE, WAITING];
    assert.equal(chooseResponseToCut(responses, 0, LIMIT_BYTES, NOW_MS), IDLE);
    assert.equal(chooseResponseToCut([STEADY, WAITING], 0, LIMIT_BYTES, NOW_MS), undefined);
});

test("when the memory is full, a response that no caller has begun goes before one that a caller reads", () => {
    const large = receiving(200_000, false);
    assert.equal(chooseResponseToCut([STEADY, WAITING, large], LIMIT_BYTES + 1, LIMIT_BYTES, NOW_MS), large);
    assert.equal(chooseResponseToCut([STEADY], LIMIT_BYTES + 1, LIMIT_BYTES, NOW_MS), STEADY);
});

test("small responses are always received, and large ones one at a time once half of the memory is taken", () => {
    const reading = receiving(100_000, false);
    assert.equal(isReceiptPaused(reading, [STEADY], 500_000, LIMIT_BYTES, NOW_MS), false);
    assert.equal(isReceiptPaused(reading, [STEADY], 600_000, LIMIT_BYTES, NOW_MS), false);
    assert.equal(isReceiptPaused(WAITING, [STEADY, reading], 600_000, LIMIT_BYTES, NOW_MS), true);
    assert.equal(isReceiptPaused(reading, [STEADY], 950_000, LIMIT_BYTES, NOW_MS), true);
    assert.equal(
        isReceiptPaused(receiving(1_000, false), [STEADY, reading], 999_000, LIMIT_BYTES, NOW_MS),
        false,
    );
});

test("responses that only wait for each other do not wait for ever", () => {
    assert.equal(isReceiptPaused(WAITING, [WAITING, WAITING], 950_000, LIMIT_BYTES, NOW_MS), false);
});

test("a response whose endpoint has stopped sending does not keep others waiting", () => {
    const quiet = { ...receiving(100_000, false), progressAtMs: NOW_MS - 1_000 };
    assert.equal(isReceiptPaused(WAITING, [STEADY, quiet], 600_000, LIMIT_BYTES, NOW_MS), false);
});
