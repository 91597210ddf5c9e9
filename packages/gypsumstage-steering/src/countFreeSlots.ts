import { countUsableSlots } from "./countUsableSlots.js";
import type { EndpointRequest } from "./EndpointRequest.js";
import type { EndpointState } from "./EndpointState.js";

/**
 * Counts the slots of an endpoint that are free for a request of the given length. Long work leaves one slot
 * of every endpoint with more than one to short work.
 *
 * @param endpoint - the endpoint
 * @param req - what is to be placed
 * @returns the number of free slots; 0 when the endpoint must not get the request
 */
export const countFreeSlots = (endpoint: EndpointState, req: EndpointRequest): number => {
    if (endpoint.isLeaving || endpoint.blockedUntilMs > req.nowMs || req.tried.has(endpoint.name)) {
        return 0;
    }
    const usable = countUsableSlots(endpoint, req.mayUseExtra);
    const free = Math.max(0, usable - endpoint.inFlight);
    if (req.length === "short" || req.longSubset === undefined) {
        return free;
    }
    if (!req.longSubset.has(endpoint.name)) {
        return 0;
    }
    return Math.min(free, Math.max(0, Math.max(1, usable - 1) - endpoint.inFlightLong));
};
