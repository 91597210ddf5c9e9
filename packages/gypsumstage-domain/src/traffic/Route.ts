import type { RequestKind } from "./RequestKind.js";
import type { RouteTarget } from "./RouteTarget.js";

/** What operators declare for the requests of one host whose path begins with one prefix. */
export interface Route {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Longest time that a request may be kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer has its full worth, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Rank among routes; 0 is the most urgent. */
    readonly priority: number;
    /** The services that run the requests; at least one. */
    readonly targets: readonly RouteTarget[];
    /** The most endpoints to which one request may be sent. */
    readonly maxAttempts: number;
    /** True when requests for the same object run faster on the endpoint that ran the last one. */
    readonly isSticky: boolean;
    /** Regions in which requests may run; empty allows all. */
    readonly permittedRegions: readonly string[];
}
