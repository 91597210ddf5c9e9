import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";

/**
 * Lists the endpoints of a service to which a request may be sent at all.
 *
 * @param endpoints - the registered endpoints of the service
 * @param route - the route of the request, whose allowed regions bind
 * @param evacuated - data centres that get no work
 * @param isLeaving - tells of an endpoint that was seen to leave
 * @returns the endpoints that remain
 */
export const listUsableEndpoints = (
    endpoints: readonly UpstreamEndpoint[],
    route: Route,
    evacuated: ReadonlySet<string>,
    isLeaving: (endpoint: UpstreamEndpoint) => boolean,
): readonly UpstreamEndpoint[] =>
    endpoints.filter(endpoint =>
        !endpoint.isDraining
        && !evacuated.has(endpoint.dataCentre)
        && (route.permittedRegions.length === 0 || route.permittedRegions.includes(endpoint.region))
        && !isLeaving(endpoint)
    );
