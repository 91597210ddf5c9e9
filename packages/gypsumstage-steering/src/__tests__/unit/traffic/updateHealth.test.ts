import assert from "node:assert/strict";
import { test } from "node:test";
import { fadeHealth } from "../../../traffic/fadeHealth.js";
import { HEALTHY } from "../../../traffic/HEALTHY.js";
import { updateHealth } from "../../../traffic/updateHealth.js";

test("an endpoint whose connection broke gets no requests until a health check succeeds", () => {
    const down = updateHealth(HEALTHY, { kind: "unreachable", now: 1_000 });
    assert.ok(down.downUntil > 1_000 && down.needsCheck);
    const recovered = updateHealth(down, { kind: "checked", now: 2_000, coldMs: 3_000 });
    assert.deepEqual([recovered.needsCheck, recovered.downUntil, recovered.coldUntil], [false, 0, 5_000]);
});

test("each consecutive failure lengthens the backoff, up to a maximum", () => {
    let health = HEALTHY;
    const backoffsMs: number[] = [];
    for (let tries = 0; tries < 12; tries++) {
        const now = health.downUntil;
        health = updateHealth(health, { kind: "check-failed", now });
        backoffsMs.push(health.downUntil - now);
    }
    assert.ok(backoffsMs.every((backoffMs, index) => backoffMs >= (backoffsMs[index - 1] ?? 0)));
    assert.equal(backoffsMs.at(-1), 2_000);
});

test("simultaneous failures of several requests count once", () => {
    const once = updateHealth(HEALTHY, { kind: "unreachable", now: 1_000 });
    assert.equal(updateHealth(once, { kind: "unreachable", now: 1_001 }), once);
});

test("measured slowness decays, so that a slow endpoint is tried again", () => {
    let health = HEALTHY;
    for (let now = 0; now < 2_000; now += 100) {
        health = updateHealth(health, { kind: "answered", now, slowness: 6, isError: false });
    }
    assert.ok(health.slowness > 4);
    assert.ok(fadeHealth(health, 20_000).slowness < 1.1);
});

test("a later report never shortens the time for which an endpoint is cold", () => {
    const cold = updateHealth(HEALTHY, { kind: "cold", until: 9_000 });
    assert.equal(updateHealth(cold, { kind: "cold", until: 4_000 }).coldUntil, 9_000);
});
