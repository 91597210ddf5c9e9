import type { Store } from "@gypsumstage/shared/Store";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { listLongSubset } from "@gypsumstage/steering/listLongSubset";

/**
 * Keeps the endpoints that run long work, by service; computed anew only when the set of endpoints changes.
 *
 * @param endpoints - the endpoints
 * @returns the lookup by service
 */
export const createLongSubsets = (
    endpoints: Store<readonly EndpointState[], EndpointEvent>,
): { readonly of: (service: string) => ReadonlySet<string>; } => {
    const subsets = new Map<string, ReadonlySet<string>>();
    let names = "";
    const refresh = (): void => {
        const current = endpoints.get().map(endpoint => endpoint.name).join(",");
        if (current !== names) {
            names = current;
            subsets.clear();
        }
    };
    endpoints.registerListener(refresh);
    return {
        of: service => {
            const held = subsets.get(service);
            if (held !== undefined) {
                return held;
            }
            const subset = listLongSubset(
                service,
                endpoints.get().filter(endpoint => endpoint.service === service),
            );
            subsets.set(service, subset);
            return subset;
        },
    };
};
