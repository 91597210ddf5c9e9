import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { ViewChange } from "./ViewChange.js";

const listEndpointChanges = (before: FleetView, after: FleetView): readonly ViewChange[] => {
    const changes: ViewChange[] = [];
    for (const [id, endpoint] of after.endpoints) {
        const previous = before.endpoints.get(id);
        if (previous === undefined) {
            changes.push({ change: "endpoint-joined", endpoint: id });
        }
        else if (endpoint.isDraining && !previous.isDraining) {
            changes.push({ change: "endpoint-draining", endpoint: id });
        }
    }
    const removed = [...before.endpoints.keys()].filter(id => !after.endpoints.has(id));
    return [...changes, ...removed.map((id): ViewChange => ({ change: "endpoint-gone", endpoint: id }))];
};

const difference = (names: ReadonlySet<string>, others: ReadonlySet<string>): readonly string[] =>
    [...names].filter(name => !others.has(name));

/**
 * Lists the differences between two fleet views.
 *
 * @param before - the earlier view
 * @param after - the later view
 * @returns the differences; endpoints are left out while the earlier view has none, as before the first listing
 */
export const listViewChanges = (before: FleetView, after: FleetView): readonly ViewChange[] => {
    const version = after.policy?.version;
    const isNewPolicy = version !== undefined && version !== before.policy?.version;
    return [
        ...(isNewPolicy ? [{ change: "policy", version, before: before.policy?.version } as const] : []),
        ...(before.endpoints.size === 0 ? [] : listEndpointChanges(before, after)),
        ...difference(after.evacuatedDataCentres, before.evacuatedDataCentres)
            .map(dataCentre => ({ change: "evacuation-begun", dataCentre } as const)),
        ...difference(before.evacuatedDataCentres, after.evacuatedDataCentres)
            .map(dataCentre => ({ change: "evacuation-ended", dataCentre } as const)),
    ];
};
