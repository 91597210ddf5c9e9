import type { Log } from "@gypsumstage/shared/Log";
import type { EndpointRateLimits } from "./EndpointRateLimits.js";

interface StatedLimit {
    readonly ratePerSecond: number;
    /** Start of the endpoint's run; a later run has no limit until it states one. */
    readonly startedAt: number;
}

/**
 * Creates the record of the rate limits of endpoints.
 *
 * @param log - receives each change of a limit
 * @returns the record, empty
 */
export const createEndpointRateLimits = (log: Log): EndpointRateLimits => {
    const limits = new Map<string, StatedLimit>();
    const ratePerSecond: EndpointRateLimits["ratePerSecond"] = endpoint => {
        const limit = limits.get(endpoint.id);
        return limit?.startedAt === endpoint.startedAt ? limit.ratePerSecond : undefined;
    };
    return {
        ratePerSecond,
        observe: (endpoint, toPerSecond) => {
            const fromPerSecond = ratePerSecond(endpoint);
            if (fromPerSecond === toPerSecond) {
                return;
            }
            log("info", "rate-limit-changed", { endpoint: endpoint.id, fromPerSecond, toPerSecond });
            if (toPerSecond === undefined) {
                limits.delete(endpoint.id);
            }
            else {
                limits.set(endpoint.id, { ratePerSecond: toPerSecond, startedAt: endpoint.startedAt });
            }
        },
        keepOnly: endpoints => {
            for (const id of [...limits.keys()].filter(each => !endpoints.has(each))) {
                limits.delete(id);
            }
        },
    };
};
