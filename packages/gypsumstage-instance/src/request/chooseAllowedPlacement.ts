import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { EstimatedCandidate } from "@gypsumstage/steering/traffic/EstimatedCandidate";
import type { Placement } from "@gypsumstage/steering/traffic/Placement";
import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import { choosePlacement } from "./choosePlacement.js";
import type { RequestContext } from "./RequestContext.js";

/**
 * Chooses the endpoint of an attempt. Endpoints in regions that the shift limiter does not allow at the moment are chosen only
 * if no allowed one can take the request, and further candidates there not at all.
 *
 * @param ctx - provides the typical latencies and the shift limiter
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param candidates - the candidate endpoints, the preferred ones first
 * @param deadlineAtMs - when the response is due, on the monotonic clock
 * @returns the endpoint, or the reason why there is none
 */
export const chooseAllowedPlacement = (
    ctx: Pick<RequestContext, "tracker" | "regionShiftLimiter">,
    route: Pick<Route, "targetLatencyMs">,
    service: string,
    candidates: readonly (PlacementCandidate | EstimatedCandidate)[],
    deadlineAtMs: number,
): Placement => {
    const typicalMs = ctx.tracker.typicalMs(service, route.targetLatencyMs);
    const remainingMs = deadlineAtMs - monotonicNow();
    const regions = new Set(candidates.map(candidate => candidate.region));
    const allowedRegions = new Set([...regions].filter(ctx.regionShiftLimiter.allows));
    const allowed = candidates.filter(candidate => allowedRegions.has(candidate.region));
    const placement = choosePlacement(allowed, typicalMs, remainingMs);
    const usual = candidates.filter(candidate =>
        allowedRegions.has(candidate.region) || !("isFurther" in candidate && candidate.isFurther)
    );
    return placement.kind === "placed" ? placement : choosePlacement(usual, typicalMs, remainingMs);
};
