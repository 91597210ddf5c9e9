import { decayHealth } from "./decayHealth.js";
import type { EndpointHealth } from "./EndpointHealth.js";
import type { HealthEvent } from "./HealthEvent.js";

const INITIAL_BACKOFF_MS = 300;
const MAX_BACKOFF_MS = 2_000;
/** Weight of the newest response in the moving averages, which are exponential. */
const SMOOTHING_FACTOR = 0.15;
const MAX_SLOWNESS = 10;

const backoffMs = (consecutiveFailures: number): number =>
    Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.min(consecutiveFailures, 8));

const updateMean = (mean: number, sample: number): number => mean + SMOOTHING_FACTOR * (sample - mean);

const applyFailure = (health: EndpointHealth, nowMs: number): EndpointHealth => ({
    ...health,
    backoffUntilMs: nowMs + backoffMs(health.consecutiveFailures),
    consecutiveFailures: health.consecutiveFailures + 1,
    needsHealthCheck: true,
});

const applyResponse = (
    health: EndpointHealth,
    event: Extract<HealthEvent, { readonly kind: "answered"; }>,
): EndpointHealth => {
    const decayed = decayHealth(health, event.nowMs);
    const sample = Math.min(MAX_SLOWNESS, event.slowness ?? decayed.slowness);
    return {
        ...health,
        consecutiveFailures: 0,
        slowness: updateMean(decayed.slowness, sample),
        errorShare: updateMean(decayed.errorShare, event.isError ? 1 : 0),
        measuredAtMs: event.nowMs,
    };
};

/**
 * Applies an observation to the health of an endpoint. An endpoint that crashed restarts cold and fails again when
 * its full load returns immediately, so a broken connection is followed by a backoff period and by a health check that
 * reports for how long the endpoint is cold. Failures within the backoff period count once.
 *
 * @param health - the health so far
 * @param event - the observation
 * @returns the next health
 */
export const updateHealth = (health: EndpointHealth, event: HealthEvent): EndpointHealth => {
    switch (event.kind) {
        case "unreachable":
        case "check-failed":
            return event.nowMs < health.backoffUntilMs ? health : applyFailure(health, event.nowMs);
        case "answered":
            return applyResponse(health, event);
        case "checked":
            return {
                ...health,
                backoffUntilMs: 0,
                needsHealthCheck: false,
                coldUntilMs: Math.max(health.coldUntilMs, event.nowMs + event.coldMs),
            };
        case "links-restored":
            return { ...health, backoffUntilMs: 0, consecutiveFailures: 0 };
        case "leaving":
            return { ...health, isLeaving: true };
        case "paused":
            return { ...health, pausedUntilMs: Math.max(health.pausedUntilMs, event.untilMs) };
        case "cold":
            return { ...health, coldUntilMs: Math.max(health.coldUntilMs, event.untilMs) };
    }
};
