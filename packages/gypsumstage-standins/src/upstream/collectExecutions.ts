import type { UpstreamStandin } from "./UpstreamStandin.js";

/**
 * Sums the executions of each request over all endpoints.
 *
 * @param upstreams - stand-ins of the endpoints
 * @returns number of executions by identifier of the request
 */
export const collectExecutions = (upstreams: readonly UpstreamStandin[]): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const upstream of upstreams) {
        for (const [id, count] of upstream.record().executions) {
            counts.set(id, (counts.get(id) ?? 0) + count);
        }
    }
    return counts;
};
