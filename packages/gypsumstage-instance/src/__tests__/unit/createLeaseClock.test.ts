import assert from "node:assert/strict";
import { test } from "node:test";
import { createLeaseClock } from "../../quota/createLeaseClock.js";

test("the lease clock counts suspension and forward steps of the time of day once, and never goes back", () => {
    let monotonicMs = 0;
    let wallMs = 1_000_000;
    const now = createLeaseClock(() => ({ monotonicMs, wallMs }));
    const advance = (byMonotonic: number, byWall: number): number => {
        monotonicMs += byMonotonic;
        wallMs += byWall;
        return now();
    };
    assert.equal(advance(100, 100), 100);
    assert.equal(advance(100, 6_100), 6_200);
    assert.equal(advance(100, 2_100), 8_300);
    assert.equal(advance(100, -50_000), 8_400);
    for (let step = 0; step < 100; step++) {
        advance(1, step % 10 === 9 ? 10 : 0);
    }
    assert.equal(now(), 8_500);
});
