import type { EndpointState } from "./EndpointState.js";

/**
 * Counts the slots of an endpoint that an entry may use for one request, occupied ones included.
 *
 * @param endpoint - the endpoint
 * @param mayUseExtra - whether the request may use slots of unoccupied places
 * @returns the number of slots
 */
export const countUsableSlots = (endpoint: EndpointState, mayUseExtra: boolean): number =>
    endpoint.ownSlots + (mayUseExtra ? endpoint.extraSlots : 0);
