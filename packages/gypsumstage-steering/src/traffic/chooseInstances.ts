import type { LookupQuery } from "@gypsumstage/domain/traffic/LookupQuery";
import type { PeerView } from "./PeerView.js";

/** Minimum number of instances returned, if the region has that many, so that a caller can fail over. */
const MIN_INSTANCES = 2;
/** Upper bound on the instances that are returned. */
const MAX_INSTANCES = 64;

/**
 * Chooses the instances that a caller should use: all of its own data centre, and a second one of its region when the
 * data centre has only one. When its data centre has none, all of its region are returned. When its region has none,
 * instances in regions in which the host's requests may run are preferred, because the body of a restricted request
 * must not enter any other region. Instances that are leaving or silent must not be returned, so `instances` must not
 * contain them.
 *
 * @param query - the host that the caller requests, and the caller's location
 * @param instances - the live instances that accept requests, this one included
 * @param permittedRegions - regions in which all of the host's requests may run; empty for all regions
 * @returns the addresses, `IP:port`, nearest first; empty when there are none
 */
export const chooseInstances = (
    query: LookupQuery,
    instances: readonly PeerView[],
    permittedRegions: readonly string[],
): readonly string[] => {
    const distance = (instance: PeerView): number => {
        if (instance.dataCentre === query.dataCentre) {
            return 0;
        }
        if (instance.region === query.region) {
            return 1;
        }
        return permittedRegions.length === 0 || permittedRegions.includes(instance.region) ? 2 : 3;
    };
    const minDistance = Math.min(...instances.map(distance));
    const byDistance = [...instances].sort((left, right) =>
        distance(left) - distance(right) || (left.name < right.name ? -1 : 1)
    );
    const selected = byDistance.filter((instance, index) => {
        const isNear = distance(instance) <= Math.max(1, minDistance);
        return distance(instance) === minDistance || (index < MIN_INSTANCES && isNear);
    });
    return selected.slice(0, MAX_INSTANCES).map(instance => instance.address);
};
