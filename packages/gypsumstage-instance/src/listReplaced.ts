import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";

/**
 * Lists the endpoints in whose place another one runs, at their address or under their id, and which so have ended. Those that were
 * draining are left out, as they ended as planned.
 *
 * @param before - the earlier view
 * @param after - the later view
 * @returns the endpoints that have ended
 */
export const listReplaced = (before: FleetView, after: FleetView): readonly UpstreamEndpoint[] => {
    const started = [...after.endpoints.values()].filter(({ id, startedAt }) =>
        before.endpoints.get(id)?.startedAt !== startedAt
    );
    if (started.length === 0) {
        return [];
    }
    const startedIds = new Set(started.map(({ id }) => id));
    const addresses = new Set(started.map(({ address }) => address));
    return [...before.endpoints.values()].filter(({ id, address, isDraining }) =>
        !isDraining && (startedIds.has(id) || addresses.has(address))
    );
};
