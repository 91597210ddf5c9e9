import type { Attempt } from "./Attempt.js";

/**
 * Combines what is known of two attempts of one request. A later refusal says nothing about an earlier attempt that
 * may have run.
 *
 * @param earlier - the earlier attempt, or the hedge's other half
 * @param later - the later attempt
 * @returns what is known of the request
 */
export const combineAttempts = (earlier: Attempt | undefined, later: Attempt): Attempt => {
    if (earlier === undefined || later.kind === "answered" || later.kind === "unknown") {
        return later;
    }
    return earlier.kind === "unknown" || earlier.kind === "answered" ? earlier : later;
};
