import type { ClientLimits } from "./ClientLimits.js";
import type { Route } from "./Route.js";
import type { ServicePolicy } from "./ServicePolicy.js";
import type { Workspace } from "./Workspace.js";

/** One accepted configuration of routes and services. */
export interface TrafficPolicy {
    /** Increases with each accepted configuration, not always by one. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServicePolicy[];
    readonly limits: ClientLimits;
    /** The customers; without any, requests need no key unless the settings call for one. Absent in messages of builds that know no workspaces. */
    readonly workspaces?: readonly Workspace[];
}
