import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { NoticeTopic } from "../notices/NoticeTopic.js";

/** Rate limits that endpoints in need state in their responses, to this instance or to others. */
export interface EndpointRateLimits {
    /** Returns the requests per second that the endpoint takes from all instances together; undefined without a limit. */
    readonly ratePerSecond: (endpoint: UpstreamEndpoint) => number | undefined;
    /** Records what a response states; undefined withdraws the limit. */
    readonly observe: (endpoint: UpstreamEndpoint, ratePerSecond: number | undefined) => void;
    /** Evicts the limits of endpoints that are not among the given ones. */
    readonly keepOnly: (endpoints: ReadonlyMap<string, UpstreamEndpoint>) => void;
    /** Spreads changes to the other instances. */
    readonly topic: NoticeTopic;
}
