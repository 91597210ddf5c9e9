import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { fadeHealth } from "@gypsumstage/steering/traffic/fadeHealth";
import { HOME_PLACES } from "@gypsumstage/steering/traffic/HOME_PLACES";
import { listUsableEndpoints } from "@gypsumstage/steering/traffic/listUsableEndpoints";
import type { PlacementOption } from "@gypsumstage/steering/traffic/PlacementOption";
import { rankEndpoints } from "@gypsumstage/steering/traffic/rankEndpoints";
import type { RequestContext } from "./RequestContext.js";

/** Time there and back, in milliseconds, as far as placement cares. */
const NEAR_ROUND_TRIP_MS = 2;
const FAR_ROUND_TRIP_MS = 70;
/** Time that work takes at an endpoint that has just started, compared with the usual one. */
const COLD_SLOWNESS = 2;

const isCold = (ctx: RequestContext, endpoint: UpstreamEndpoint, now: number): boolean =>
    ctx.tracker.health(endpoint.id).coldUntil > now;

const listCandidates = (
    ctx: RequestContext,
    route: Route,
    service: string,
    tried: ReadonlySet<string>,
): readonly UpstreamEndpoint[] => {
    const now = monotonicNow();
    const view = ctx.view();
    const usable = listUsableEndpoints(
        view.endpointsByService.get(service) ?? [],
        route,
        view.evacuated,
        endpoint => ctx.tracker.health(endpoint.id).isLeaving,
    );
    const reachable = usable.filter(endpoint => {
        const health = ctx.tracker.health(endpoint.id);
        return !tried.has(endpoint.id) && !health.needsCheck && health.downUntil <= now;
    });
    return reachable.filter(endpoint => !isCold(ctx, endpoint, now) || ctx.cold.isAvailable(endpoint));
};

/**
 * Lists the places at which a request may run now, the preferred one first.
 *
 * @param ctx - what serving needs
 * @param route - the request's route
 * @param service - the service that runs it
 * @param key - the object that the request concerns
 * @param tried - endpoints that it was sent to before
 * @returns the places with what is known of them
 */
export const listOptions = (
    ctx: RequestContext,
    route: Route,
    service: string,
    key: string,
    tried: ReadonlySet<string>,
): readonly PlacementOption[] => {
    const candidates = listCandidates(ctx, route, service, tried);
    const places = rankEndpoints(key, candidates, ctx.region, ctx.homeShares(service));
    const isAnyWarm = places.some(place => ctx.tracker.isWarm(place.id, key));
    const now = monotonicNow();
    const expectHealth = (place: UpstreamEndpoint): ReturnType<typeof fadeHealth> => {
        const expected = fadeHealth(ctx.tracker.health(place.id), now);
        return isCold(ctx, place, now)
            ? { ...expected, slowness: Math.max(expected.slowness, COLD_SLOWNESS) }
            : expected;
    };
    return places.map((place, index) => ({
        id: place.id,
        region: place.region,
        slots: place.slots,
        inFlight: ctx.tracker.inFlightAt(place.id) + ctx.peers.inFlight(place.id),
        isHome: index < HOME_PLACES,
        isWarm: ctx.tracker.isWarm(place.id, key) || (index === 0 && !isAnyWarm),
        roundTripMs: place.region === ctx.region ? NEAR_ROUND_TRIP_MS : FAR_ROUND_TRIP_MS,
        ...expectHealth(place),
    }));
};
