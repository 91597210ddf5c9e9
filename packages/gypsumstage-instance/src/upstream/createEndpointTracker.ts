import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { EndpointHealth } from "@gypsumstage/steering/traffic/EndpointHealth";
import { HEALTHY } from "@gypsumstage/steering/traffic/HEALTHY";
import { updateHealth } from "@gypsumstage/steering/traffic/updateHealth";
import { updateTypicalTime } from "@gypsumstage/steering/traffic/updateTypicalTime";
import type { EndpointTracker } from "./EndpointTracker.js";

/** Time for which an endpoint is taken to keep an object's data, in milliseconds. */
const WARM_MS = 20_000;
/** Usual time of work before any was measured, as a part of the route's target. */
const FIRST_TYPICAL_SHARE = 0.4;

/**
 * Creates the record of what this instance sees at each endpoint.
 *
 * @returns the record
 */
export const createEndpointTracker = (): EndpointTracker => {
    const health = new Map<string, EndpointHealth>();
    const inFlight = new Map<string, number>();
    const warm = new Map<string, Map<string, number>>();
    const typical = new Map<string, number>();
    const touch = (id: string, objectKey: string): void => {
        const objects = warm.get(id) ?? new Map<string, number>();
        objects.set(objectKey, monotonicNow());
        warm.set(id, objects);
    };
    const count = (id: string, change: number): void => {
        const next = (inFlight.get(id) ?? 0) + change;
        if (next > 0) {
            inFlight.set(id, next);
        }
        else {
            inFlight.delete(id);
        }
    };
    return {
        health: id => health.get(id) ?? HEALTHY,
        report: (id, event) => {
            health.set(id, updateHealth(health.get(id) ?? HEALTHY, event));
            if (event.kind === "cold" || (event.kind === "checked" && event.coldMs > 0)) {
                warm.delete(id);
            }
        },
        begin: (id, objectKey) => {
            touch(id, objectKey);
            count(id, 1);
            return () => count(id, -1);
        },
        inFlight: () => Object.fromEntries(inFlight),
        inFlightAt: id => inFlight.get(id) ?? 0,
        isWarm: (id, objectKey) => {
            const touchedAt = warm.get(id)?.get(objectKey);
            return touchedAt !== undefined && monotonicNow() - touchedAt < WARM_MS;
        },
        typicalMs: (service, targetLatencyMs) => {
            const known = typical.get(service) ?? targetLatencyMs * FIRST_TYPICAL_SHARE;
            typical.set(service, known);
            return known;
        },
        measure: (service, latencyMs) => {
            const known = typical.get(service);
            if (known !== undefined) {
                typical.set(service, updateTypicalTime(known, latencyMs));
            }
        },
        keepOnly: endpoints => {
            for (const id of [...health.keys(), ...warm.keys()]) {
                if (!endpoints.has(id)) {
                    health.delete(id);
                    warm.delete(id);
                }
            }
        },
    };
};
