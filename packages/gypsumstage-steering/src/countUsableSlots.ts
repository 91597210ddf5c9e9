import type { EndpointState } from "./EndpointState.js";

/**
 * Counts the slots of an endpoint that an entry may use for one request, occupied ones included.
 *
 * @param endpoint - the endpoint
 * @param mayUseExtraSlots - whether the request may use slots of unoccupied places
 * @returns the number of slots
 */
export const countUsableSlots = (endpoint: EndpointState, mayUseExtraSlots: boolean): number =>
    endpoint.ownSlots + (mayUseExtraSlots ? endpoint.extraSlots : 0);
