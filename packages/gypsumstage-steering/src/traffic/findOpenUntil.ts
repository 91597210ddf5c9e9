import { ENDS_UNTIL_OPEN } from "./ENDS_UNTIL_OPEN.js";
import { listEndedRuns } from "./listEndedRuns.js";
import type { SuspectRequest } from "./SuspectRequest.js";

const MIN_OPEN_MS = 60_000;
const MAX_OPEN_MS = 600_000;

/**
 * Returns until when a request that ends endpoints is refused everywhere (its circuit breaker is open). After that one
 * instance probes whether it still does. Each further end doubles the time.
 *
 * @param suspect - the request
 * @returns the monotonic time; the time of the last end when there were too few ends
 */
export const findOpenUntil = (suspect: SuspectRequest): number => {
    const ends = listEndedRuns(suspect).length;
    const lastEndAtMs = Math.max(-Infinity, ...suspect.endedAtMs.values());
    const openMs = ends < ENDS_UNTIL_OPEN
        ? 0
        : Math.min(MAX_OPEN_MS, MIN_OPEN_MS * 2 ** (ends - ENDS_UNTIL_OPEN));
    return lastEndAtMs + openMs;
};
