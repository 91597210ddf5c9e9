import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";

/**
 * Lists the endpoints of a service that a request may be sent to, regardless of their load and connection failures.
 *
 * @param endpoints - the registered endpoints of the service
 * @param route - the route of the request, which may restrict the regions
 * @param evacuatedDataCentres - names of the data centres that get no requests
 * @param isLeaving - returns whether this instance has observed that an endpoint is leaving
 * @returns the usable endpoints
 */
export const listUsableEndpoints = (
    endpoints: readonly UpstreamEndpoint[],
    route: Route,
    evacuatedDataCentres: ReadonlySet<string>,
    isLeaving: (endpoint: UpstreamEndpoint) => boolean,
): readonly UpstreamEndpoint[] =>
    endpoints.filter(endpoint =>
        !endpoint.isDraining
        && !evacuatedDataCentres.has(endpoint.dataCentre)
        && (route.permittedRegions.length === 0 || route.permittedRegions.includes(endpoint.region))
        && !isLeaving(endpoint)
    );
