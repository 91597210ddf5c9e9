import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { rendezvous } from "../rendezvous.js";
import type { PeerReport } from "./PeerReport.js";

/**
 * Lists the instances that may send work to a cold endpoint. A fixed few owners share its allowance, so the
 * sum over all instances holds also while they disagree about who is alive by one or two. Those of the
 * endpoint's region come first: most objects that are at home there are asked for through them.
 *
 * @param endpoint - the cold endpoint
 * @param instances - the live instances
 * @param owners - how many own it
 * @returns the owners' names
 */
export const listColdOwners = (
    endpoint: Pick<UpstreamEndpoint, "id" | "region">,
    instances: readonly Pick<PeerReport, "name" | "region">[],
    owners: number,
): readonly string[] => {
    const order = (isNear: boolean): readonly string[] =>
        rendezvous(
            `cold/${endpoint.id}`,
            instances.filter(each => (each.region === endpoint.region) === isNear).map(each => each.name),
        );
    return [...order(true), ...order(false)].slice(0, owners);
};
