import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";

/** Permits of this instance to send requests to rate-limited endpoints. */
export interface RequestPermits {
    /** Returns whether requests to the endpoint need permits at the moment. */
    readonly isNeeded: (endpoint: UpstreamEndpoint) => boolean;
    /** Returns for how long no permit for the endpoint will be requested, in milliseconds; 0 when one may be. */
    readonly deniedForMs: (endpoint: UpstreamEndpoint) => number;
    /** Takes the permit for one request; resolves to false when it is denied or the issuer does not answer. */
    readonly take: (endpoint: UpstreamEndpoint) => Promise<boolean>;
}
