import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";

/** Limits the rate of this instance's requests to cold endpoints. */
export interface ColdRateLimiter {
    /** Returns whether this instance may send a request to the cold endpoint now. */
    readonly isAvailable: (endpoint: UpstreamEndpoint) => boolean;
    /** Counts a request that is sent to the cold endpoint. */
    readonly take: (endpoint: UpstreamEndpoint) => void;
}
