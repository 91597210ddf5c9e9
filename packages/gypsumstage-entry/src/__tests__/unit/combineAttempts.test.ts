import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Attempt } from "../../attempt/Attempt.js";
import { combineAttempts } from "../../attempt/combineAttempts.js";

const attempt: fc.Arbitrary<Attempt> = fc.constantFrom("refused", "not-sent", "unknown").map(kind =>
    ({ kind, reason: kind }) as Attempt
);

test("once an attempt may have run, no later refusal makes the request not run", () => {
    fc.assert(fc.property(fc.array(attempt, { minLength: 1 }), attempts => {
        const known = attempts.reduce<Attempt | undefined>(combineAttempts, undefined);
        const mayHaveRun = attempts.some(each => each.kind === "unknown");
        assert.equal(known?.kind === "unknown", mayHaveRun);
    }));
});
