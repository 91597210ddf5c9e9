import type { ClientLimits } from "./ClientLimits.js";
import type { Route } from "./Route.js";
import type { ServicePolicy } from "./ServicePolicy.js";

/** One accepted configuration of routes and services. */
export interface TrafficPolicy {
    /** Increases with each accepted configuration, not always by one. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServicePolicy[];
    readonly limits: ClientLimits;
}
