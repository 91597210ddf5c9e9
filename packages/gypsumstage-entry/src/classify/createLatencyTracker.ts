import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { Store } from "@gypsumstage/shared/Store";
import type { ClassLatency } from "@gypsumstage/steering/ClassLatency";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { updateClassLatency } from "@gypsumstage/steering/updateClassLatency";
import type { LatencyTracker } from "./LatencyTracker.js";

const MIN_SAMPLES = 30;
const MIN_HEDGE_DELAY_MS = 5;
/** Even at low load 5 % of the requests exceed the 95th percentile; their hedges must not use up the attempt budget. */
const MIN_HEDGE_DELAY_PER_MEDIAN = 1.5;

/**
 * Creates the latency tracker.
 *
 * @param endpoints - the endpoint store, to which the ratio of a latency to the median of its class is dispatched
 * @returns the tracker
 */
export const createLatencyTracker = (
    endpoints: Store<readonly EndpointState[], EndpointEvent>,
): LatencyTracker => {
    const latencies = new Map<string, ClassLatency>();
    const compareWithMedian = (cls: RequestClass, name: string, latencyMs: number): void => {
        const estimate = latencies.get(cls.name);
        if (estimate !== undefined && estimate.count >= MIN_SAMPLES && cls.length === "short") {
            endpoints.dispatch({ kind: "observed", name, ratio: latencyMs / estimate.medianMs });
        }
    };
    return {
        observe: (cls, endpoint, latencyMs) => {
            compareWithMedian(cls, endpoint, latencyMs);
            latencies.set(cls.name, updateClassLatency(latencies.get(cls.name), latencyMs));
        },
        reportOverdue: compareWithMedian,
        getHedgeDelayMs: cls => {
            const estimate = latencies.get(cls.name);
            return estimate === undefined || estimate.count < MIN_SAMPLES
                ? undefined
                : Math.max(
                    MIN_HEDGE_DELAY_MS,
                    estimate.p95Ms,
                    estimate.medianMs * MIN_HEDGE_DELAY_PER_MEDIAN,
                );
        },
        get: cls => latencies.get(cls.name),
    };
};
