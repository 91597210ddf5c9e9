import type { EndpointState } from "./EndpointState.js";

/**
 * Counts the slots of an endpoint that an entry may fill for one request.
 *
 * @param endpoint - the endpoint
 * @param mayUseExtra - whether slots of unoccupied places may be counted
 * @returns the number of slots, filled ones included
 */
export const countUsableSlots = (endpoint: EndpointState, mayUseExtra: boolean): number =>
    endpoint.ownSlots + (mayUseExtra ? endpoint.extraSlots : 0);
