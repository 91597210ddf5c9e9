import type { Route } from "@gypsumstage/domain/traffic/Route";

/**
 * Finds the route of a request: the route of its host with the longest matching path prefix.
 *
 * @param routes - the routes in force
 * @param host - the requested host name, without a port
 * @param path - path of the request, with or without a query
 * @returns the route, or undefined when none matches
 */
export const matchRoute = (routes: readonly Route[], host: string, path: string): Route | undefined => {
    let longest: Route | undefined;
    for (const route of routes) {
        const isLonger = longest === undefined || route.pathPrefix.length > longest.pathPrefix.length;
        if (isLonger && route.host === host && path.startsWith(route.pathPrefix)) {
            longest = route;
        }
    }
    return longest;
};
