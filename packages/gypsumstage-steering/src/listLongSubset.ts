import type { EndpointState } from "./EndpointState.js";
import { rankByRendezvousHash } from "./rankByRendezvousHash.js";

const LONG_WORK_FRACTION = 0.5;

/**
 * Chooses the endpoints that may run long work, so that the others stay free for short work. Every entry chooses the
 * same ones.
 *
 * @param service - name of the service, the seed of the hash
 * @param endpoints - the endpoints of the service
 * @returns names of the endpoints that may run long work
 */
export const listLongSubset = (service: string, endpoints: readonly EndpointState[]): ReadonlySet<string> => {
    const names = endpoints.map(endpoint => endpoint.name);
    return new Set(
        rankByRendezvousHash(`long/${service}`, names).slice(0, Math.ceil(names.length * LONG_WORK_FRACTION)),
    );
};
