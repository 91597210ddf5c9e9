import type { Route } from "@gypsumstage/domain/traffic/Route";

/**
 * Creates a route for tests.
 *
 * @param fields - fields that override the defaults
 * @returns the route
 */
export const createRoute = (fields: Partial<Route> = {}): Route => ({
    name: "r1",
    host: "desk.example",
    pathPrefix: "/a/",
    kind: "safe",
    timeoutMs: 1_000,
    targetLatencyMs: 500,
    priority: 1,
    targets: [{ service: "desk", weight: 1 }],
    maxAttempts: 2,
    isSticky: true,
    permittedRegions: [],
    ...fields,
});
