import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Attempt } from "../../attempt/Attempt.js";
import { combineAttempts } from "../../attempt/combineAttempts.js";

const attemptArbitrary: fc.Arbitrary<Attempt> = fc.constantFrom("refused", "not-sent", "unknown").map(kind =>
    ({ kind, reason: kind }) as Attempt
);

test("the combined result stays unknown after an attempt that may have run, whatever refusals follow", () => {
    fc.assert(fc.property(fc.array(attemptArbitrary, { minLength: 1 }), attempts => {
        const combined = attempts.reduce<Attempt | undefined>(combineAttempts, undefined);
        const mayHaveRun = attempts.some(each => each.kind === "unknown");
        assert.equal(combined?.kind === "unknown", mayHaveRun);
    }));
});
