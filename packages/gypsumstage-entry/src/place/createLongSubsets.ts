import type { Store } from "@gypsumstage/shared/Store";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { listLongSubset } from "@gypsumstage/steering/listLongSubset";

interface CachedSubset {
    readonly endpointNames: string;
    readonly subset: ReadonlySet<string>;
}

/**
 * Caches the subset of endpoints that run long work, by service. A subset is computed again only when the endpoints of
 * the service change.
 *
 * @param endpoints - the endpoint store
 * @returns `getSubset`, which returns the names of the endpoints that run long work for a service
 */
export const createLongSubsets = (
    endpoints: Store<readonly EndpointState[], EndpointEvent>,
): { readonly getSubset: (service: string) => ReadonlySet<string>; } => {
    const cache = new Map<string, CachedSubset>();
    return {
        getSubset: service => {
            const serviceEndpoints = endpoints.get().filter(endpoint => endpoint.service === service);
            const endpointNames = serviceEndpoints.map(endpoint => endpoint.name).join(",");
            const cached = cache.get(service);
            if (cached?.endpointNames === endpointNames) {
                return cached.subset;
            }
            const subset = listLongSubset(service, serviceEndpoints);
            cache.set(service, { endpointNames, subset });
            return subset;
        },
    };
};
