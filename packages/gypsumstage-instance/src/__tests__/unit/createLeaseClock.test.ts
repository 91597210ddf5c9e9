import assert from "node:assert/strict";
import { test } from "node:test";
import { createLeaseClock } from "../../quota/createLeaseClock.js";

test("the lease clock counts suspension once, whichever clock shows it, and never goes back", () => {
    let monotonicMs = 0;
    let uptimeMs = 1_000;
    let dateMs = 1_000_000;
    const now = createLeaseClock(() => monotonicMs, () => uptimeMs, () => dateMs);
    const advance = (byMonotonic: number, byUptime: number, byDate: number): number => {
        monotonicMs += byMonotonic;
        uptimeMs += byUptime;
        dateMs += byDate;
        return now();
    };
    assert.equal(advance(100, 100, 100), 100);
    assert.equal(advance(100, 6_100, 6_100), 6_200);
    assert.equal(advance(100, 100, 2_100), 8_300);
    assert.equal(advance(100, 100, -50_000), 8_400);
    for (let step = 0; step < 100; step++) {
        advance(1, step % 10 === 9 ? 10 : 0, 1);
    }
    assert.equal(now(), 8_500);
});
