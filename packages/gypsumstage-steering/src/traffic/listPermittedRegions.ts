import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import { intersectRegions } from "./intersectRegions.js";

/** Regions in which some workspace may run requests; empty when one of them may anywhere. */
const listWorkspaceRegions = (workspaces: readonly Workspace[]): readonly string[] =>
    workspaces.some(({ permittedRegions }) => permittedRegions.length === 0)
        ? []
        : [...new Set(workspaces.flatMap(({ permittedRegions }) => permittedRegions))];

/**
 * Lists the regions in which the requests of every route of a host may run. A look-up states no workspace, so those of all
 * workspaces count.
 *
 * @param routes - the routes in force
 * @param host - the host name, without a port
 * @param workspaces - the workspaces in force
 * @returns the regions; empty when no route of the host is restricted to regions, or no region is permitted by all
 */
export const listPermittedRegions = (
    routes: readonly Route[],
    host: string,
    workspaces: readonly Workspace[] = [],
): readonly string[] => {
    const workspaceRegions = listWorkspaceRegions(workspaces);
    const restrictions = routes
        .filter(route => route.host === host)
        .map(({ isPublic, permittedRegions }) =>
            isPublic ? permittedRegions : intersectRegions(permittedRegions, workspaceRegions)
        )
        .filter(regions => regions.length > 0);
    const [first, ...others] = restrictions;
    return (first ?? []).filter(region => others.every(regions => regions.includes(region)));
};
