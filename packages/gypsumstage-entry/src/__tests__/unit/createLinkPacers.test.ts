import assert from "node:assert/strict";
import { test } from "node:test";
import { createLinkPacers } from "../../attempt/createLinkPacers.js";
import type { LinkPacers } from "../../attempt/LinkPacers.js";

const RATE_BYTES_PER_SECOND = 1_000_000;
const MESSAGE_BYTES = 10_000;

const sendUntil = async (
    pacers: LinkPacers,
    length: "short" | "long",
    untilMs: number,
): Promise<readonly number[]> => {
    const times: number[] = [];
    const signal = new AbortController().signal;
    while (performance.now() < untilMs) {
        await pacers.acquire("there", MESSAGE_BYTES, length, signal);
        times.push(performance.now());
    }
    return times;
};

test("the bytes of any one-second window stay within the rate, and short work is preferred without starving long work", async () => {
    const pacers = createLinkPacers("here", () => RATE_BYTES_PER_SECOND);
    const untilMs = performance.now() + 2_000;
    const [short, long, secondLong] = await Promise.all([
        sendUntil(pacers, "short", untilMs),
        sendUntil(pacers, "long", untilMs),
        sendUntil(pacers, "long", untilMs),
    ]);
    pacers.stop();
    assert.ok(short && long && secondLong);
    const all = [...short, ...long, ...secondLong].sort((left, right) => left - right);
    for (const windowStart of all) {
        const bytes = all.filter(time => time >= windowStart && time < windowStart + 1_000).length
            * MESSAGE_BYTES;
        assert.ok(bytes <= RATE_BYTES_PER_SECOND, `${bytes} bytes in one second`);
    }
    assert.ok(short.length > long.length + secondLong.length);
    assert.ok(long.length > 0, "long work must not be starved by short work");
});

test("a call that waits for capacity rejects when its signal aborts", async () => {
    const pacers = createLinkPacers("here", () => 1);
    const controller = new AbortController();
    const signal = controller.signal;
    await assert.rejects(async () => {
        const waits = [
            pacers.acquire("there", MESSAGE_BYTES, "short", signal),
            pacers.acquire("there", MESSAGE_BYTES, "short", signal),
        ];
        controller.abort(new Error("enough"));
        await Promise.all(waits);
    }, /enough/);
    pacers.stop();
});
