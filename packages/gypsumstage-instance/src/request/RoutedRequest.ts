import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { CallerRequest } from "./CallerRequest.js";

/** A request that may be served, and the route as it holds for its workspace. */
export interface RoutedRequest {
    readonly kind: "routed";
    readonly route: Route;
    readonly req: CallerRequest;
}
