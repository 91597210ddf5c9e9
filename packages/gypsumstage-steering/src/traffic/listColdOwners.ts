import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import type { PeerReport } from "./PeerReport.js";

/**
 * Lists the instances that may send requests to a cold endpoint. A small fixed number of owners, chosen by
 * rendezvous hashing, share the rate that it tolerates, so the limit over all instances also holds while their
 * lists of live instances differ by one or two. Instances of the endpoint's region come first, because they
 * receive most requests for the objects whose primary endpoint is there.
 *
 * @param endpoint - the cold endpoint
 * @param instances - the live instances
 * @param ownerCount - number of owners
 * @returns names of the owners; fewer when there are not enough instances
 */
export const listColdOwners = (
    endpoint: Pick<UpstreamEndpoint, "id" | "region">,
    instances: readonly Pick<PeerReport, "name" | "region">[],
    ownerCount: number,
): readonly string[] => {
    const rank = (isInRegion: boolean): readonly string[] =>
        rankByRendezvousHash(
            `cold/${endpoint.id}`,
            instances.filter(each => (each.region === endpoint.region) === isInRegion).map(each => each.name),
        );
    return [...rank(true), ...rank(false)].slice(0, ownerCount);
};
