import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AttemptResult } from "../../attempt/AttemptResult.js";
import { combineAttempts } from "../../attempt/combineAttempts.js";

const attemptArbitrary: fc.Arbitrary<AttemptResult> = fc.constantFrom("refused", "not-sent", "unknown").map(
    kind => ({ kind, reason: kind }) as AttemptResult,
);

test("the combined result stays unknown after an attempt that may have run, whatever refusals follow", () => {
    fc.assert(fc.property(fc.array(attemptArbitrary, { minLength: 1 }), attempts => {
        const combined = attempts.reduce<AttemptResult | undefined>(combineAttempts, undefined);
        const mayHaveRun = attempts.some(each => each.kind === "unknown");
        assert.equal(combined?.kind === "unknown", mayHaveRun);
    }));
});
