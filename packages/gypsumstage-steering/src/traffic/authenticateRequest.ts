import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { Authentication } from "./Authentication.js";
import type { KeyDirectory } from "./KeyDirectory.js";

/**
 * Decides for whom a request is served. That no key is known doesn't mean that none is required: all may have been removed.
 *
 * @param route - the route that the request matched
 * @param directory - the keys in force, and whether requests need one
 * @param keyDigest - digest of the request's key; undefined when it has none
 * @returns the workspace; or `anonymous` when the request needs no key; or `unknown-key`
 */
export const authenticateRequest = (
    route: Pick<Route, "isPublic">,
    { isKeyRequired, workspacesByKey }: KeyDirectory,
    keyDigest: string | undefined,
): Authentication => {
    if (route.isPublic || !isKeyRequired) {
        return { kind: "anonymous" };
    }
    const workspace = keyDigest === undefined ? undefined : workspacesByKey.get(keyDigest);
    return workspace === undefined ? { kind: "unknown-key" } : { kind: "workspace", workspace };
};
