import assert from "node:assert/strict";
import { test } from "node:test";
import { createLinkPacers } from "../../attempt/createLinkPacers.js";
import type { LinkPacers } from "../../attempt/LinkPacers.js";

const RATE = 1_000_000;
const PART = 10_000;

const pump = async (
    pacers: LinkPacers,
    length: "short" | "long",
    untilMs: number,
): Promise<readonly number[]> => {
    const times: number[] = [];
    const signal = new AbortController().signal;
    while (performance.now() < untilMs) {
        await pacers.take("there", PART, length, signal);
        times.push(performance.now());
    }
    return times;
};

test("no window of one second carries more than the rate, and short work goes first", async () => {
    const pacers = createLinkPacers("here", () => RATE);
    const untilMs = performance.now() + 2_000;
    const [short, long, alsoLong] = await Promise.all([
        pump(pacers, "short", untilMs),
        pump(pacers, "long", untilMs),
        pump(pacers, "long", untilMs),
    ]);
    pacers.stop();
    assert.ok(short && long && alsoLong);
    const all = [...short, ...long, ...alsoLong].sort((left, right) => left - right);
    for (const start of all) {
        const bytes = all.filter(time => time >= start && time < start + 1_000).length * PART;
        assert.ok(bytes <= RATE, `${bytes} bytes in a second`);
    }
    assert.ok(short.length > long.length + alsoLong.length);
    assert.ok(long.length > 0, "long work is sure of a part");
});

test("a wait ends with the signal", async () => {
    const pacers = createLinkPacers("here", () => 1);
    const controller = new AbortController();
    const signal = controller.signal;
    await assert.rejects(async () => {
        const waits = [
            pacers.take("there", PART, "short", signal),
            pacers.take("there", PART, "short", signal),
        ];
        controller.abort(new Error("enough"));
        await Promise.all(waits);
    }, /enough/);
    pacers.stop();
});
