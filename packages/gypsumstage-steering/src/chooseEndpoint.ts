import { countFreeSlots } from "./countFreeSlots.js";
import { countUsableSlots } from "./countUsableSlots.js";
import type { EndpointChoiceInput } from "./EndpointChoiceInput.js";
import type { EndpointState } from "./EndpointState.js";

const pickRandom = (candidates: readonly EndpointState[], random: () => number): EndpointState | undefined =>
    candidates[Math.floor(random() * candidates.length)];

const estimateRelativeWait = (endpoint: EndpointState, input: EndpointChoiceInput): number =>
    endpoint.slowness * (endpoint.inFlight + 1)
    / Math.max(1, countUsableSlots(endpoint, input.mayUseExtraSlots));

const chooseOfTwo = (
    candidates: readonly EndpointState[],
    input: EndpointChoiceInput,
): EndpointState | undefined => {
    const first = pickRandom(candidates, input.random);
    const second = pickRandom(candidates, input.random);
    if (first === undefined || second === undefined) {
        return first;
    }
    return estimateRelativeWait(first, input) <= estimateRelativeWait(second, input) ? first : second;
};

/**
 * Chooses the endpoint for a request: of two random endpoints the one with the lower expected wait, estimated from
 * the entry's own requests and not from reports. A slowed endpoint gets a request only when a probe is due or when
 * no other endpoint has a free slot.
 *
 * @param endpoints - the endpoints of the service in the data centre
 * @param input - the properties of the request
 * @returns the endpoint, or undefined when no slot is free
 */
export const chooseEndpoint = (
    endpoints: readonly EndpointState[],
    input: EndpointChoiceInput,
): EndpointState | undefined => {
    const free = endpoints.filter(endpoint => countFreeSlots(endpoint, input) > 0);
    const isProbeDue = (endpoint: EndpointState): boolean =>
        endpoint.isSlowed && endpoint.probeAtMs <= input.nowMs;
    const probeTarget = input.tried.size === 0 ? free.find(isProbeDue) : undefined;
    if (probeTarget !== undefined) {
        return probeTarget;
    }
    const healthy = free.filter(endpoint => !endpoint.isSlowed);
    return chooseOfTwo(healthy.length > 0 ? healthy : free, input);
};
