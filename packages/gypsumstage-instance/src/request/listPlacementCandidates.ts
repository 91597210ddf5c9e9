import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { decayHealth } from "@gypsumstage/steering/traffic/decayHealth";
import type { EstimatedCandidate } from "@gypsumstage/steering/traffic/EstimatedCandidate";
import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import { PRIMARY_SIDE_CANDIDATES } from "@gypsumstage/steering/traffic/PRIMARY_SIDE_CANDIDATES";
import { rankEndpoints } from "@gypsumstage/steering/traffic/rankEndpoints";
import { listEligibleEndpoints } from "./listEligibleEndpoints.js";
import { listEstimatedCandidates } from "./listEstimatedCandidates.js";
import type { RequestContext } from "./RequestContext.js";

/** Round-trip times that placement assumes to endpoints in the same region and in another one. */
const SAME_REGION_ROUND_TRIP_MS = 2;
const OTHER_REGION_ROUND_TRIP_MS = 70;
/** Minimum slowness that placement assumes for a cold endpoint, such as one that has just started. */
const COLD_SLOWNESS = 2;

const isCold = (ctx: RequestContext, endpoint: UpstreamEndpoint, nowMs: number): boolean =>
    ctx.tracker.health(endpoint.id).coldUntilMs > nowMs;

/**
 * Lists the candidate endpoints of a request that may receive it now, the primary one first.
 *
 * @param ctx - provides the view, the health and load of endpoints, and the rate limiter for cold ones
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param key - identifies the object, for rendezvous hashing
 * @param isForObject - false when the request concerns no object, so that the key is any value
 * @param tried - identifiers of endpoints at which the request was already attempted
 * @returns the candidates with their load, expected health and whether the data of the object are warm there
 */
export const listPlacementCandidates = (
    ctx: RequestContext,
    route: Route,
    service: string,
    key: string,
    isForObject: boolean,
    tried: ReadonlySet<string>,
): readonly (PlacementCandidate | EstimatedCandidate)[] => {
    const eligible = listEligibleEndpoints(ctx, route, service, tried);
    const nowMs = monotonicNow();
    const estimateHealth = (candidate: UpstreamEndpoint): ReturnType<typeof decayHealth> => {
        const estimate = decayHealth(ctx.tracker.health(candidate.id), nowMs);
        return isCold(ctx, candidate, nowMs)
            ? { ...estimate, slowness: Math.max(estimate.slowness, COLD_SLOWNESS) }
            : estimate;
    };
    const describe = (
        candidate: UpstreamEndpoint,
    ): Pick<PlacementCandidate, "id" | "region" | "roundTripMs" | "slowness" | "errorShare"> => ({
        id: candidate.id,
        region: candidate.region,
        roundTripMs: candidate.region === ctx.region ? SAME_REGION_ROUND_TRIP_MS : OTHER_REGION_ROUND_TRIP_MS,
        ...estimateHealth(candidate),
    });
    if (ctx.choosesByStatedLoad()) {
        const workMs = ctx.tracker.workTimes.typicalMs(service, route.targetLatencyMs);
        const queueWorkMs = ctx.tracker.workTimes.meanMs(service) ?? workMs;
        const demand = { key, isForObject, workMs, queueWorkMs };
        return listEstimatedCandidates(ctx, service, eligible, demand, describe);
    }
    const candidates = rankEndpoints(key, eligible, ctx.region, ctx.localPrimaryShare(service));
    const isAnyWarm = candidates.some(candidate => ctx.tracker.isWarm(candidate.id, key));
    return candidates.map((candidate, index) => ({
        ...describe(candidate),
        slots: candidate.slots,
        inFlight: ctx.tracker.inFlightAt(candidate.id) + ctx.peers.inFlight(candidate.id),
        isOnPrimarySide: index < PRIMARY_SIDE_CANDIDATES,
        isWarm: ctx.tracker.isWarm(candidate.id, key) || (index === 0 && !isAnyWarm),
    }));
};
