import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";

/**
 * Caches a value for each endpoint, such as one for which all instances have to be ranked.
 *
 * @param ttlMs - time for which a value is kept, in milliseconds
 * @param compute - computes the value for an endpoint
 * @returns the function that returns the cached value, computed again when it has expired
 */
export const createEndpointCache = <Value>(
    ttlMs: number,
    compute: (endpoint: UpstreamEndpoint) => Value,
): (endpoint: UpstreamEndpoint) => Value => {
    const entries = new Map<string, { readonly value: Value; readonly untilMs: number; }>();
    return endpoint => {
        const nowMs = monotonicNow();
        const known = entries.get(endpoint.id);
        if (known !== undefined && nowMs < known.untilMs) {
            return known.value;
        }
        for (const [id] of [...entries].filter(([, { untilMs }]) => untilMs <= nowMs)) {
            entries.delete(id);
        }
        const value = compute(endpoint);
        entries.set(endpoint.id, { value, untilMs: nowMs + ttlMs });
        return value;
    };
};
