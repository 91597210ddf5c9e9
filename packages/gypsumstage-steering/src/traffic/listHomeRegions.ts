import type { Route } from "@gypsumstage/domain/traffic/Route";

/**
 * Lists the regions in which every route of a host may be served.
 *
 * @param routes - the routes in force
 * @param host - the host
 * @returns the regions; empty when no route of the host is bound to regions, or no region suits them all
 */
export const listHomeRegions = (routes: readonly Route[], host: string): readonly string[] => {
    const bound = routes
        .filter(route => route.host === host && route.permittedRegions.length > 0)
        .map(route => route.permittedRegions);
    const [first, ...others] = bound;
    return (first ?? []).filter(region => others.every(regions => regions.includes(region)));
};
