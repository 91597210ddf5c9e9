import type { EndpointHealth } from "./EndpointHealth.js";

/** Initial health of an endpoint, without any observed failure. */
export const HEALTHY: EndpointHealth = {
    downUntil: 0,
    consecutiveFailures: 0,
    coldUntil: 0,
    needsCheck: false,
    isLeaving: false,
    slowness: 1,
    errorShare: 0,
    measuredAtMs: 0,
};
