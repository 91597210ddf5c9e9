/** Half-life of a stated slowness, in milliseconds: endpoints are slow for about 600 ms at a time. */
const HALF_LIFE_MS = 300;

/**
 * Decays the slowness that an endpoint stated towards the one that was observed over a longer time.
 *
 * @param stated - slowness as stated; 1 is usual
 * @param observed - slowness expected without the statement
 * @param ageMs - time since it was stated
 * @returns the expected slowness
 */
export const decayStatedSlowness = (stated: number, observed: number, ageMs: number): number =>
    observed + (stated - observed) * 0.5 ** (Math.max(0, ageMs) / HALF_LIFE_MS);
