import type { EndpointHealth } from "./EndpointHealth.js";

/** Half-life of measured slowness and errors, in milliseconds. */
const HALF_LIFE_MS = 3_000;

/**
 * Decays old measurements towards those of a healthy endpoint, so that an endpoint that gets no requests because it was
 * slow or failing is tried again.
 *
 * @param health - health as of its last measurement
 * @param nowMs - current monotonic time
 * @returns the expected slowness and share of errors at `nowMs`
 */
export const decayHealth = (
    health: EndpointHealth,
    nowMs: number,
): Pick<EndpointHealth, "slowness" | "errorShare"> => {
    const remainingShare = 0.5 ** (Math.max(0, nowMs - health.measuredAtMs) / HALF_LIFE_MS);
    return {
        slowness: 1 + (health.slowness - 1) * remainingShare,
        errorShare: health.errorShare * remainingShare,
    };
};
