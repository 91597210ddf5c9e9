import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { findNearestInstances } from "./findNearestInstances.js";
import type { PeerReport } from "./PeerReport.js";

/** Share that is issued while all the nearest instances are silent: they may still issue permits on their side of a cut. */
const REMOTE_SHARE = 0.25;

/**
 * Returns the share of an endpoint's rate limit that an issuer may issue. Instances that fell silent recently may have been
 * cut off and may have chosen another issuer, so their part of the limit is left to them until their records expire.
 *
 * @param endpoint - the endpoint
 * @param known - all instances with a record, live or silent
 * @param isLive - returns whether an instance is live
 * @returns the share, above 0 and at most 1
 */
export const computeIssuedShare = <Instance extends Pick<PeerReport, "name" | "dataCentre" | "region">>(
    endpoint: Pick<UpstreamEndpoint, "dataCentre" | "region">,
    known: readonly Instance[],
    isLive: (instance: Instance) => boolean,
): number => {
    const nearest = findNearestInstances(endpoint, known);
    const live = nearest.filter(isLive).length;
    return live > 0 ? live / nearest.length : REMOTE_SHARE;
};
