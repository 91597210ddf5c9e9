import { updateTypicalLatency } from "@gypsumstage/steering/traffic/updateTypicalLatency";
import { LRUCache } from "lru-cache";
import type { WorkTimes } from "./WorkTimes.js";

/** Typical time before the first measurement, as a fraction of the route's target. */
const INITIAL_TYPICAL_FRACTION = 0.4;
/** Weight of the newest latency in the mean, which is exponential; low, as a few requests take several times as long. */
const SMOOTHING_FACTOR = 0.05;
/** Pairs of service and target; those of earlier configurations are evicted. */
const MAX_KINDS = 1_000;

/**
 * Creates the memory of the times that requests take. Routes with different work may share a service, so the typical time is kept
 * for each target latency; those that wait ahead of a request may be of any route, so the mean is kept for the service.
 *
 * @returns the memory, empty
 */
export const createWorkTimes = (): WorkTimes => {
    const typical = new LRUCache<string, number>({ max: MAX_KINDS });
    const means = new LRUCache<string, number>({ max: MAX_KINDS });
    const typicalMs = (service: string, targetLatencyMs: number): number =>
        typical.get(`${targetLatencyMs}/${service}`) ?? targetLatencyMs * INITIAL_TYPICAL_FRACTION;
    return {
        typicalMs,
        meanMs: service => means.get(service),
        record: (service, targetLatencyMs, latencyMs) => {
            const next = updateTypicalLatency(typicalMs(service, targetLatencyMs), latencyMs);
            typical.set(`${targetLatencyMs}/${service}`, next);
            const mean = means.get(service) ?? latencyMs;
            means.set(service, mean + SMOOTHING_FACTOR * (latencyMs - mean));
        },
    };
};
