import { countUsableSlots } from "./countUsableSlots.js";
import type { EndpointChoiceInput } from "./EndpointChoiceInput.js";
import type { EndpointState } from "./EndpointState.js";

/**
 * Counts the slots of an endpoint that are free for a request. On endpoints with more than one slot, long work leaves
 * one slot to short work.
 *
 * @param endpoint - the endpoint
 * @param input - the properties of the request
 * @returns the number of free slots; 0 when the endpoint must not get the request
 */
export const countFreeSlots = (endpoint: EndpointState, input: EndpointChoiceInput): number => {
    if (endpoint.isLeaving || endpoint.blockedUntilMs > input.nowMs || input.tried.has(endpoint.name)) {
        return 0;
    }
    const usable = countUsableSlots(endpoint, input.mayUseExtraSlots);
    const free = Math.max(0, usable - endpoint.inFlight);
    if (input.length === "short" || input.longSubset === undefined) {
        return free;
    }
    if (!input.longSubset.has(endpoint.name)) {
        return 0;
    }
    return Math.min(free, Math.max(0, Math.max(1, usable - 1) - endpoint.inFlightLong));
};
