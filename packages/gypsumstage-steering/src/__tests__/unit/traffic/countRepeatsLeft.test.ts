import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { countRepeatsLeft } from "../../../traffic/countRepeatsLeft.js";

const BOUNDS = { ratio: 0.2, slack: 56, windowMs: 10_000 };

const countAllowed = (requests: number, instances: number): number => {
    let repeats = 0;
    while (countRepeatsLeft(BOUNDS, requests, repeats, instances) >= 1) {
        repeats += 1;
    }
    return repeats;
};

test("the repeats of all instances stay within the bound, however the requests are divided among them", () => {
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 0, max: 2_000 }), { minLength: 1, maxLength: 12 }), loads => {
            const repeats = loads.reduce((sum, requests) => sum + countAllowed(requests, loads.length), 0);
            const requests = loads.reduce((sum, each) => sum + each, 0);
            assert.ok(repeats <= BOUNDS.ratio * requests + BOUNDS.slack);
        }),
    );
});

test("they stay within it also when every instance restarts once in the window and forgets what it sent", () => {
    const instances = 8;
    const twice = 2 * instances * countAllowed(100, instances);
    assert.ok(twice <= BOUNDS.ratio * 100 * 2 * instances + BOUNDS.slack);
});
