import type { EstimatedCandidate } from "@gypsumstage/steering/traffic/EstimatedCandidate";
import { placeByEstimate } from "@gypsumstage/steering/traffic/placeByEstimate";
import type { Placement } from "@gypsumstage/steering/traffic/Placement";
import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import { placeRequest } from "@gypsumstage/steering/traffic/placeRequest";

/**
 * Chooses the endpoint of a request by the estimated load where the candidates have one, else by the reported requests in
 * flight.
 *
 * @param candidates - the candidates; either all of them have an estimated load or none
 * @param workMs - typical latency of a request on warm data, in milliseconds
 * @param remainingMs - time until the deadline, in milliseconds
 * @returns the endpoint, or the reason why there is none
 */
export const choosePlacement = (
    candidates: readonly (PlacementCandidate | EstimatedCandidate)[],
    workMs: number,
    remainingMs: number,
): Placement => {
    const estimated = candidates.filter(candidate => "deviation" in candidate);
    return estimated.length === 0
        ? placeRequest(candidates, workMs, remainingMs)
        : placeByEstimate(estimated, remainingMs, Math.random);
};
