import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import { intersectRegions } from "./intersectRegions.js";

/**
 * Restricts a route to what a workspace allows: the regions of both bind, and the workspace's priority goes before the route's.
 *
 * @param route - the route that the request matched
 * @param workspace - the workspace of the request
 * @returns the route for this workspace; undefined when there is no region that both permit
 */
export const applyWorkspace = (route: Route, workspace: Workspace): Route | undefined => {
    const permittedRegions = intersectRegions(route.permittedRegions, workspace.permittedRegions);
    const isRestricted = route.permittedRegions.length > 0 || workspace.permittedRegions.length > 0;
    return isRestricted && permittedRegions.length === 0
        ? undefined
        : { ...route, permittedRegions, priority: workspace.priority ?? route.priority };
};
