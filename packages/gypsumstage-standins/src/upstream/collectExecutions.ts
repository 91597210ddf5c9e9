import type { UpstreamStandin } from "./UpstreamStandin.js";

/**
 * Collects how often each request was run, over all endpoints.
 *
 * @param upstreams - the endpoints
 * @returns the count by identifier of the request
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
