import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { PeerReport } from "./PeerReport.js";

type Located = Pick<PeerReport, "dataCentre" | "region">;

/**
 * Finds the instances that are nearest to an endpoint: those of its data centre, or else of its region, or else all. A
 * partition that separates an instance from them usually separates it from the endpoint too.
 *
 * @param endpoint - the endpoint
 * @param instances - the instances
 * @returns the nearest ones; empty only when there are no instances
 */
export const findNearestInstances = <Instance extends Located>(
    endpoint: Pick<UpstreamEndpoint, "dataCentre" | "region">,
    instances: readonly Instance[],
): readonly Instance[] => {
    const inDataCentre = instances.filter(each => each.dataCentre === endpoint.dataCentre);
    if (inDataCentre.length > 0) {
        return inDataCentre;
    }
    const inRegion = instances.filter(each => each.region === endpoint.region);
    return inRegion.length > 0 ? inRegion : instances;
};
