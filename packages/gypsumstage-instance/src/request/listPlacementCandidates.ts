import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { decayHealth } from "@gypsumstage/steering/traffic/decayHealth";
import { listUsableEndpoints } from "@gypsumstage/steering/traffic/listUsableEndpoints";
import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import { PRIMARY_SIDE_CANDIDATES } from "@gypsumstage/steering/traffic/PRIMARY_SIDE_CANDIDATES";
import { rankEndpoints } from "@gypsumstage/steering/traffic/rankEndpoints";
import type { RequestContext } from "./RequestContext.js";

/** Round-trip times that placement assumes to endpoints in the same region and in another one. */
const SAME_REGION_ROUND_TRIP_MS = 2;
const OTHER_REGION_ROUND_TRIP_MS = 70;
/** Minimum slowness that placement assumes for a cold endpoint, such as one that has just started. */
const COLD_SLOWNESS = 2;

const isCold = (ctx: RequestContext, endpoint: UpstreamEndpoint, nowMs: number): boolean =>
    ctx.tracker.health(endpoint.id).coldUntilMs > nowMs;

const listEligibleEndpoints = (
    ctx: RequestContext,
    route: Route,
    service: string,
    tried: ReadonlySet<string>,
): readonly UpstreamEndpoint[] => {
    const nowMs = monotonicNow();
    const view = ctx.view();
    const usable = listUsableEndpoints(
        view.endpointsByService.get(service) ?? [],
        route,
        view.evacuatedDataCentres,
        endpoint => ctx.tracker.health(endpoint.id).isLeaving,
    );
    const reachable = usable.filter(endpoint => {
        const health = ctx.tracker.health(endpoint.id);
        return !tried.has(endpoint.id) && !health.needsHealthCheck && health.backoffUntilMs <= nowMs
            && health.pausedUntilMs <= nowMs;
    });
    return reachable.filter(endpoint =>
        (!isCold(ctx, endpoint, nowMs) || ctx.coldRateLimiter.isAvailable(endpoint))
        && ctx.permits.deniedForMs(endpoint) === 0
    );
};

/**
 * Lists the candidate endpoints of a request that may receive it now, the primary one first.
 *
 * @param ctx - provides the view, the health and load of endpoints, and the rate limiter for cold ones
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param key - identifies the object, for rendezvous hashing
 * @param tried - identifiers of endpoints at which the request was already attempted
 * @returns the candidates with their load, expected health and whether the data of the object are warm there
 */
export const listPlacementCandidates = (
    ctx: RequestContext,
    route: Route,
    service: string,
    key: string,
    tried: ReadonlySet<string>,
): readonly PlacementCandidate[] => {
    const eligible = listEligibleEndpoints(ctx, route, service, tried);
    const candidates = rankEndpoints(key, eligible, ctx.region, ctx.localPrimaryShare(service));
    const isAnyWarm = candidates.some(candidate => ctx.tracker.isWarm(candidate.id, key));
    const nowMs = monotonicNow();
    const estimateHealth = (candidate: UpstreamEndpoint): ReturnType<typeof decayHealth> => {
        const estimate = decayHealth(ctx.tracker.health(candidate.id), nowMs);
        return isCold(ctx, candidate, nowMs)
            ? { ...estimate, slowness: Math.max(estimate.slowness, COLD_SLOWNESS) }
            : estimate;
    };
    return candidates.map((candidate, index) => ({
        id: candidate.id,
        region: candidate.region,
        slots: candidate.slots,
        inFlight: ctx.tracker.inFlightAt(candidate.id) + ctx.peers.inFlight(candidate.id),
        isOnPrimarySide: index < PRIMARY_SIDE_CANDIDATES,
        isWarm: ctx.tracker.isWarm(candidate.id, key) || (index === 0 && !isAnyWarm),
        roundTripMs: candidate.region === ctx.region ? SAME_REGION_ROUND_TRIP_MS : OTHER_REGION_ROUND_TRIP_MS,
        ...estimateHealth(candidate),
    }));
};
