import type { ReachMonitor } from "../reach/ReachMonitor.js";
import type { EndpointTracker } from "./EndpointTracker.js";
import type { ResponseMemory } from "./ResponseMemory.js";
import type { UpstreamPool } from "./UpstreamPool.js";

/** The connections of an instance to endpoints and to other instances, and what it observes of them. */
export interface Upstreams {
    readonly tracker: EndpointTracker;
    /** Connections to endpoints. */
    readonly pool: UpstreamPool;
    /** Connections to other instances. */
    readonly relayPool: UpstreamPool;
    /** Memory of the responses that are being received or written to callers. */
    readonly responseMemory: ResponseMemory;
    readonly reach: ReachMonitor;
    /** Stops the checks and closes the connections. */
    readonly stop: () => Promise<void>;
}
