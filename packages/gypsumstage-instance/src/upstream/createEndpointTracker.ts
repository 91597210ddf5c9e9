import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { EndpointHealth } from "@gypsumstage/steering/traffic/EndpointHealth";
import { INITIAL_HEALTH } from "@gypsumstage/steering/traffic/INITIAL_HEALTH";
import type { LatencyPeaks } from "@gypsumstage/steering/traffic/LatencyPeaks";
import { updateHealth } from "@gypsumstage/steering/traffic/updateHealth";
import { updateLatencyPeaks } from "@gypsumstage/steering/traffic/updateLatencyPeaks";
import { updateTypicalLatency } from "@gypsumstage/steering/traffic/updateTypicalLatency";
import type { EndpointTracker } from "./EndpointTracker.js";

/** Time after a request for which an endpoint is assumed to hold the object's data. */
const WARM_TTL_MS = 20_000;
/** Typical latency before the first measurement, as a fraction of the route's target. */
const INITIAL_TYPICAL_FRACTION = 0.4;

/**
 * Creates the tracker of endpoints. An endpoint without events counts as healthy.
 *
 * @returns the tracker, empty
 */
export const createEndpointTracker = (): EndpointTracker => {
    const health = new Map<string, EndpointHealth>();
    const inFlight = new Map<string, number>();
    const warmObjects = new Map<string, Map<string, number>>();
    const typicalByService = new Map<string, number>();
    const peaksByService = new Map<string, LatencyPeaks>();
    const markWarm = (id: string, objectKey: string): void => {
        const objects = warmObjects.get(id) ?? new Map<string, number>();
        objects.set(objectKey, monotonicNow());
        warmObjects.set(id, objects);
    };
    const addInFlight = (id: string, change: number): void => {
        const next = (inFlight.get(id) ?? 0) + change;
        if (next > 0) {
            inFlight.set(id, next);
        }
        else {
            inFlight.delete(id);
        }
    };
    const forget = (id: string): void => {
        health.delete(id);
        warmObjects.delete(id);
    };
    return {
        health: id => health.get(id) ?? INITIAL_HEALTH,
        recordHealthEvent: (id, event) => {
            health.set(id, updateHealth(health.get(id) ?? INITIAL_HEALTH, event));
            if (event.kind === "cold" || (event.kind === "checked" && event.coldMs > 0)) {
                warmObjects.delete(id);
            }
        },
        trackRequest: (id, objectKey) => {
            markWarm(id, objectKey);
            addInFlight(id, 1);
            return () => addInFlight(id, -1);
        },
        inFlight: () => Object.fromEntries(inFlight),
        inFlightAt: id => inFlight.get(id) ?? 0,
        isWarm: (id, objectKey) => {
            const lastRequestAtMs = warmObjects.get(id)?.get(objectKey);
            return lastRequestAtMs !== undefined && monotonicNow() - lastRequestAtMs < WARM_TTL_MS;
        },
        typicalMs: (service, targetLatencyMs) => {
            const currentMs = typicalByService.get(service) ?? targetLatencyMs * INITIAL_TYPICAL_FRACTION;
            typicalByService.set(service, currentMs);
            return currentMs;
        },
        slowestMs: service => {
            const peaks = peaksByService.get(service);
            return peaks === undefined ? undefined : Math.max(peaks.currentMs, peaks.previousMs);
        },
        recordLatency: (service, latencyMs) => {
            peaksByService.set(
                service,
                updateLatencyPeaks(peaksByService.get(service), latencyMs, monotonicNow()),
            );
            const currentMs = typicalByService.get(service);
            if (currentMs !== undefined) {
                typicalByService.set(service, updateTypicalLatency(currentMs, latencyMs));
            }
        },
        forget,
        keepOnly: endpoints =>
            [...health.keys(), ...warmObjects.keys()].filter(id => !endpoints.has(id)).forEach(forget),
    };
};
