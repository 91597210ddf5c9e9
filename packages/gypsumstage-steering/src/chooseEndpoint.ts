import { countFreeSlots } from "./countFreeSlots.js";
import { countUsableSlots } from "./countUsableSlots.js";
import type { EndpointRequest } from "./EndpointRequest.js";
import type { EndpointState } from "./EndpointState.js";

const pick = (candidates: readonly EndpointState[], random: () => number): EndpointState | undefined =>
    candidates[Math.floor(random() * candidates.length)];

const estimateWait = (endpoint: EndpointState, req: EndpointRequest): number =>
    endpoint.slowness * (endpoint.inFlight + 1) / Math.max(1, countUsableSlots(endpoint, req.mayUseExtra));

const chooseOfTwo = (
    candidates: readonly EndpointState[],
    req: EndpointRequest,
): EndpointState | undefined => {
    const first = pick(candidates, req.random);
    const second = pick(candidates, req.random);
    if (first === undefined || second === undefined) {
        return first;
    }
    return estimateWait(first, req) <= estimateWait(second, req) ? first : second;
};

/**
 * Chooses the endpoint for a request: of two random ones the one with the lower expected wait, judged by the
 * entry's own requests and not by reports. A slowed endpoint gets a request when a probe is due or when no
 * other has a free slot.
 *
 * @param endpoints - the endpoints of the service in the data centre
 * @param req - what is to be placed
 * @returns the endpoint, or undefined when no slot is free
 */
export const chooseEndpoint = (
    endpoints: readonly EndpointState[],
    req: EndpointRequest,
): EndpointState | undefined => {
    const free = endpoints.filter(endpoint => countFreeSlots(endpoint, req) > 0);
    const isDue = (endpoint: EndpointState): boolean => endpoint.isSlowed && endpoint.probeAtMs <= req.nowMs;
    const due = req.tried.size === 0 ? free.find(isDue) : undefined;
    if (due !== undefined) {
        return due;
    }
    const healthy = free.filter(endpoint => !endpoint.isSlowed);
    return chooseOfTwo(healthy.length > 0 ? healthy : free, req);
};
