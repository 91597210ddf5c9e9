import type { RequestKind } from "./RequestKind.js";
import type { RouteTarget } from "./RouteTarget.js";

/** Route, as declared by operators: how requests to one host whose path begins with a given prefix are served. */
export interface Route {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Longest time that a caller waits for the response, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency within which a response has its full value for the caller, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Rank among routes; 0 is the most urgent. */
    readonly priority: number;
    /** The services that run the requests; at least one. */
    readonly targets: readonly RouteTarget[];
    /** Maximum number of endpoints that one request may be sent to. */
    readonly maxAttempts: number;
    /** True when requests for the same object run faster on the endpoint that ran the previous one. */
    readonly isSticky: boolean;
    /** Regions in which requests may run; empty permits all. */
    readonly permittedRegions: readonly string[];
    /** True when requests need no key of a workspace; absent in messages of builds that know no workspaces. */
    readonly isPublic?: boolean;
}
