import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";

/**
 * Lists the endpoints that started again under the same id. Such a run knows nothing of the one before, which may have been
 * leaving or asked for no requests.
 *
 * @param before - the earlier view
 * @param after - the later view
 * @returns their ids
 */
export const listRestarted = (before: FleetView, after: FleetView): readonly string[] =>
    [...after.endpoints.values()]
        .filter(({ id, startedAt }) => {
            const previous = before.endpoints.get(id);
            return previous !== undefined && previous.startedAt !== startedAt;
        })
        .map(endpoint => endpoint.id);
