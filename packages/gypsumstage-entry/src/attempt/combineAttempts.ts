import type { AttemptResult } from "./AttemptResult.js";

/**
 * Combines the results of two attempts of one request. An `unknown` result is not replaced by a later refusal, because
 * the earlier attempt may have run.
 *
 * @param earlier - the result of the earlier attempts, or of the other attempt of a hedged request
 * @param later - the result of the later attempt
 * @returns the combined result
 */
export const combineAttempts = (earlier: AttemptResult | undefined, later: AttemptResult): AttemptResult => {
    if (earlier === undefined || later.kind === "answered" || later.kind === "unknown") {
        return later;
    }
    return earlier.kind === "unknown" || earlier.kind === "answered" ? earlier : later;
};
