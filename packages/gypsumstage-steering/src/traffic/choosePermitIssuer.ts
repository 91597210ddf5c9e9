import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import { findNearestInstances } from "./findNearestInstances.js";
import type { PeerReport } from "./PeerReport.js";

/**
 * Chooses the instance that issues the permits for requests to a rate-limited endpoint: one of the nearest, by rendezvous
 * hashing, so that instances with the same view choose the same one.
 *
 * @param endpoint - the endpoint
 * @param instances - the live instances that serve requests
 * @returns name of the issuer; undefined when there are no instances
 */
export const choosePermitIssuer = (
    endpoint: Pick<UpstreamEndpoint, "id" | "dataCentre" | "region">,
    instances: readonly Pick<PeerReport, "name" | "dataCentre" | "region">[],
): string | undefined => {
    const nearest = findNearestInstances(endpoint, instances).map(each => each.name);
    return rankByRendezvousHash(`permit/${endpoint.id}`, nearest)[0];
};
