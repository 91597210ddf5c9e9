import type { Store } from "@gypsumstage/shared/Store";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { listLongSubset } from "@gypsumstage/steering/listLongSubset";

interface Known {
    readonly names: string;
    readonly subset: ReadonlySet<string>;
}

/**
 * Keeps the endpoints that run long work, by service; chosen anew only when the endpoints of the service change.
 *
 * @param endpoints - the endpoints
 * @returns the lookup by service
 */
export const createLongSubsets = (
    endpoints: Store<readonly EndpointState[], EndpointEvent>,
): { readonly of: (service: string) => ReadonlySet<string>; } => {
    const subsets = new Map<string, Known>();
    return {
        of: service => {
            const current = endpoints.get().filter(endpoint => endpoint.service === service);
            const names = current.map(endpoint => endpoint.name).join(",");
            const held = subsets.get(service);
            if (held?.names === names) {
                return held.subset;
            }
            const subset = listLongSubset(service, current);
            subsets.set(service, { names, subset });
            return subset;
        },
    };
};
