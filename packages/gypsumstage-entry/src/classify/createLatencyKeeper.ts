import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { Store } from "@gypsumstage/shared/Store";
import type { ClassLatency } from "@gypsumstage/steering/ClassLatency";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { updateClassLatency } from "@gypsumstage/steering/updateClassLatency";
import type { LatencyKeeper } from "./LatencyKeeper.js";

const ENOUGH_SAMPLES = 30;
const MIN_HEDGE_MS = 5;
/** In quiet times a twentieth of the requests exceed the 95th percentile; they must not use up the budget. */
const MIN_HEDGE_OVER_MEDIAN = 1.5;

/**
 * Creates the keeper of latencies.
 *
 * @param endpoints - the endpoints, which hear how each compares with what is typical
 * @returns the keeper
 */
export const createLatencyKeeper = (
    endpoints: Store<readonly EndpointState[], EndpointEvent>,
): LatencyKeeper => {
    const latencies = new Map<string, ClassLatency>();
    const compare = (cls: RequestClass, name: string, latencyMs: number): void => {
        const typical = latencies.get(cls.name);
        if (typical !== undefined && typical.count >= ENOUGH_SAMPLES && cls.length === "short") {
            endpoints.dispatch({ kind: "observed", name, ratio: latencyMs / typical.medianMs });
        }
    };
    return {
        observe: (cls, endpoint, latencyMs) => {
            compare(cls, endpoint, latencyMs);
            latencies.set(cls.name, updateClassLatency(latencies.get(cls.name), latencyMs));
        },
        overdue: compare,
        hedgeDelayMs: cls => {
            const typical = latencies.get(cls.name);
            return typical === undefined || typical.count < ENOUGH_SAMPLES
                ? undefined
                : Math.max(MIN_HEDGE_MS, typical.highMs, typical.medianMs * MIN_HEDGE_OVER_MEDIAN);
        },
        get: cls => latencies.get(cls.name),
    };
};
