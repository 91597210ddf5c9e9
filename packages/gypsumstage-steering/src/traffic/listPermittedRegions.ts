import type { Route } from "@gypsumstage/domain/traffic/Route";

/**
 * Lists the regions in which the requests of every route of a host may run.
 *
 * @param routes - the routes in force
 * @param host - the host name, without a port
 * @returns the regions; empty when no route of the host is restricted to regions, or no region is permitted by all
 */
export const listPermittedRegions = (routes: readonly Route[], host: string): readonly string[] => {
    const restrictions = routes
        .filter(route => route.host === host && route.permittedRegions.length > 0)
        .map(route => route.permittedRegions);
    const [first, ...others] = restrictions;
    return (first ?? []).filter(region => others.every(regions => regions.includes(region)));
};
