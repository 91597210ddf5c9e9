import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { listUsableEndpoints } from "@gypsumstage/steering/traffic/listUsableEndpoints";
import type { RequestContext } from "./RequestContext.js";

/**
 * Lists the endpoints of a service that may receive a request now.
 *
 * @param ctx - provides the view, the health of endpoints, the permits and the rate limiter for cold ones
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param tried - identifiers of endpoints at which the request was already attempted
 * @returns the endpoints
 */
export const listEligibleEndpoints = (
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
        (ctx.tracker.health(endpoint.id).coldUntilMs <= nowMs || ctx.coldRateLimiter.isAvailable(endpoint))
        && ctx.permits.deniedForMs(endpoint) === 0
    );
};
