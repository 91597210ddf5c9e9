import type { LoadEstimate } from "./LoadEstimate.js";

const MIN_DEVIATION = 1;

/**
 * Estimates the load of an endpoint that has not stated any yet, by the load of the others: it gets requests, so that its load
 * becomes known, but no more than an average endpoint while many instances know as little of it.
 *
 * @param slots - slots of the endpoint
 * @param usualLoadPerSlot - average load per slot of the endpoints that stated theirs
 * @param ownInFlight - requests of this instance in flight at the endpoint
 * @param reportedInFlight - requests in flight there according to the latest reports of other instances
 * @returns the estimate
 */
export const estimateUnstatedLoad = (
    slots: number,
    usualLoadPerSlot: number,
    ownInFlight: number,
    reportedInFlight: number,
): LoadEstimate => {
    const usualLoad = slots * usualLoadPerSlot;
    return {
        inFlight: ownInFlight + Math.max(reportedInFlight, usualLoad),
        newInFlight: usualLoad,
        deviation: Math.max(MIN_DEVIATION, Math.sqrt(usualLoad)),
    };
};
