import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { EndpointHealth } from "@gypsumstage/steering/traffic/EndpointHealth";
import { INITIAL_HEALTH } from "@gypsumstage/steering/traffic/INITIAL_HEALTH";
import type { LatencyPeaks } from "@gypsumstage/steering/traffic/LatencyPeaks";
import { updateHealth } from "@gypsumstage/steering/traffic/updateHealth";
import { updateLatencyPeaks } from "@gypsumstage/steering/traffic/updateLatencyPeaks";
import { updateTypicalLatency } from "@gypsumstage/steering/traffic/updateTypicalLatency";
import { createEndpointLoads } from "./createEndpointLoads.js";
import { createWarmObjects } from "./createWarmObjects.js";
import { createWorkTimes } from "./createWorkTimes.js";
import type { EndpointTracker } from "./EndpointTracker.js";

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
    const inFlightAt = (id: string): number => inFlight.get(id) ?? 0;
    const warmObjects = createWarmObjects();
    const loads = createEndpointLoads(inFlightAt);
    const typicalByService = new Map<string, number>();
    const peaksByService = new Map<string, LatencyPeaks>();
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
        warmObjects.clear(id);
        loads.forget(id);
    };
    return {
        health: id => health.get(id) ?? INITIAL_HEALTH,
        recordHealthEvent: (id, event) => {
            health.set(id, updateHealth(health.get(id) ?? INITIAL_HEALTH, event));
            if (event.kind === "cold" || (event.kind === "checked" && event.coldMs > 0)) {
                warmObjects.clear(id);
            }
        },
        trackRequest: (id, objectKey) => {
            warmObjects.mark(id, objectKey);
            addInFlight(id, 1);
            return () => addInFlight(id, -1);
        },
        inFlight: () => Object.fromEntries(inFlight),
        inFlightAt,
        loads,
        workTimes: createWorkTimes(),
        isWarm: warmObjects.has,
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
        keepOnly: endpoints => {
            [...health.keys()].filter(id => !endpoints.has(id)).forEach(forget);
            loads.keepOnly(endpoints);
        },
    };
};
