import type { EndpointHealth } from "./EndpointHealth.js";

/** Initial health of an endpoint, without any observed failure. */
export const INITIAL_HEALTH: EndpointHealth = {
    backoffUntilMs: 0,
    pausedUntilMs: 0,
    consecutiveFailures: 0,
    coldUntilMs: 0,
    needsHealthCheck: false,
    isLeaving: false,
    slowness: 1,
    errorShare: 0,
    measuredAtMs: 0,
};
