import type { TokenBucket } from "../TokenBucket.js";

/** State of the permits for requests to one rate-limited endpoint, kept by their issuer. Times are monotonic. */
export interface PermitState {
    /** One token is one permit. */
    readonly bucket: TokenBucket;
    /** When each instance last requested permits, by its name; only recent ones. */
    readonly requestedAtMs: ReadonlyMap<string, number>;
}
