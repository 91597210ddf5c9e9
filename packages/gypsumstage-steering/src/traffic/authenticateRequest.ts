import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import type { Authentication } from "./Authentication.js";

/**
 * Decides for whom a request is served.
 *
 * @param route - the route that the request matched
 * @param workspacesByKey - the workspace of each key, by the key's digest; empty when the configuration has no workspaces
 * @param keyDigest - digest of the request's key; undefined when it has none
 * @returns the workspace; or `anonymous` when the request needs no key; or `unknown-key`
 */
export const authenticateRequest = (
    route: Pick<Route, "isPublic">,
    workspacesByKey: ReadonlyMap<string, Workspace>,
    keyDigest: string | undefined,
): Authentication => {
    if (route.isPublic || workspacesByKey.size === 0) {
        return { kind: "anonymous" };
    }
    const workspace = keyDigest === undefined ? undefined : workspacesByKey.get(keyDigest);
    return workspace === undefined ? { kind: "unknown-key" } : { kind: "workspace", workspace };
};
