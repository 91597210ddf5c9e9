import type { Route } from "@gypsumstage/domain/traffic/Route";

/**
 * Lists the services to which the routes of a host lead.
 *
 * @param routes - all routes
 * @param host - the host
 * @returns names of the services that get requests of the host
 */
export const listHostServices = (routes: readonly Route[], host: string): ReadonlySet<string> =>
    new Set(
        routes
            .filter(route => route.host === host)
            .flatMap(route => route.targets)
            .filter(target => target.weight > 0)
            .map(target => target.service),
    );
