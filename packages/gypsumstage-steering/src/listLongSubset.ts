import type { EndpointState } from "./EndpointState.js";
import { rendezvous } from "./rendezvous.js";

const LONG_PART = 0.5;

/**
 * Chooses the endpoints that long work is packed on, the same for every entry, so that the rest stays free for
 * short work.
 *
 * @param service - the service
 * @param endpoints - its endpoints
 * @returns names of the endpoints that may run long work
 */
export const listLongSubset = (service: string, endpoints: readonly EndpointState[]): ReadonlySet<string> => {
    const names = endpoints.map(endpoint => endpoint.name);
    return new Set(rendezvous(`long/${service}`, names).slice(0, Math.ceil(names.length * LONG_PART)));
};
