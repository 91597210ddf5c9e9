import type { DecayingCount } from "./DecayingCount.js";

/**
 * Returns a decaying count at a later time.
 *
 * @param count - the count; undefined for 0
 * @param nowMs - current monotonic time
 * @param decayMs - time in which the count falls to 1/e
 * @returns the count now
 */
export const readDecayingCount = (
    count: DecayingCount | undefined,
    nowMs: number,
    decayMs: number,
): number => count === undefined ? 0 : count.amount * Math.exp((count.atMs - nowMs) / decayMs);
