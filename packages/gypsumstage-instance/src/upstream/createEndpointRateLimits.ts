import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { createChangeListeners } from "../notices/createChangeListeners.js";
import type { EndpointRateLimits } from "./EndpointRateLimits.js";
import type { RateLimitNotice } from "./RateLimitNotice.js";

interface StatedLimit {
    /** Undefined once the limit was withdrawn, so that an older notice does not restore it. */
    readonly ratePerSecond: number | undefined;
    /** Start of the endpoint's run; a later run has no limit until it states one. */
    readonly startedAt: number;
    /** When the response that stated it was received, here or elsewhere, on this instance's monotonic clock. */
    readonly statedAtMs: number;
}

const isRateLimitNotice = (content: unknown): content is RateLimitNotice => {
    const { endpointId, startedAt, ratePerSecond, ageMs } = content as Partial<RateLimitNotice>;
    return typeof endpointId === "string" && typeof startedAt === "number" && typeof ageMs === "number"
        && (ratePerSecond === undefined || typeof ratePerSecond === "number");
};

/**
 * Creates the record of the rate limits of endpoints. Of two statements, the later one counts.
 *
 * @param findEndpoint - returns an endpoint by its id; undefined when it is not registered
 * @param log - receives each change of a limit
 * @returns the record, empty
 */
export const createEndpointRateLimits = (
    findEndpoint: (id: string) => UpstreamEndpoint | undefined,
    log: Log,
): EndpointRateLimits => {
    const limits = new Map<string, StatedLimit>();
    const listeners = createChangeListeners();
    const getLimit = (endpoint: UpstreamEndpoint): StatedLimit | undefined => {
        const limit = limits.get(endpoint.id);
        return limit?.startedAt === endpoint.startedAt ? limit : undefined;
    };
    /** Records a statement and returns whether it changes the limit. */
    const record = (
        endpoint: UpstreamEndpoint,
        ratePerSecond: number | undefined,
        statedAtMs: number,
        source: "response" | "notice",
    ): boolean => {
        const previous = getLimit(endpoint);
        if (previous === undefined && ratePerSecond === undefined) {
            return false;
        }
        if (previous !== undefined && previous.statedAtMs >= statedAtMs) {
            return false;
        }
        limits.set(endpoint.id, { ratePerSecond, startedAt: endpoint.startedAt, statedAtMs });
        if (previous?.ratePerSecond === ratePerSecond) {
            return false;
        }
        log("info", "rate-limit-changed", {
            endpoint: endpoint.id,
            fromPerSecond: previous?.ratePerSecond,
            toPerSecond: ratePerSecond,
            source,
            ageMs: Math.round(monotonicNow() - statedAtMs),
        });
        return true;
    };
    const read = (id: string): RateLimitNotice | undefined => {
        const limit = limits.get(id);
        if (limit === undefined) {
            return undefined;
        }
        const { ratePerSecond, startedAt, statedAtMs } = limit;
        return {
            endpointId: id,
            startedAt,
            ...(ratePerSecond === undefined ? {} : { ratePerSecond }),
            ageMs: Math.round(monotonicNow() - statedAtMs),
        };
    };
    const merge = (content: unknown): string | undefined => {
        if (!isRateLimitNotice(content)) {
            log("warn", "notice-malformed", { topic: "rate-limits" });
            return undefined;
        }
        const { endpointId, startedAt, ratePerSecond, ageMs } = content;
        const endpoint = findEndpoint(endpointId);
        const isCurrent = endpoint !== undefined && endpoint.startedAt === startedAt;
        const isChanged = isCurrent && record(endpoint, ratePerSecond, monotonicNow() - ageMs, "notice");
        return isChanged ? endpointId : undefined;
    };
    return {
        ratePerSecond: endpoint => getLimit(endpoint)?.ratePerSecond,
        observe: (endpoint, ratePerSecond) => {
            if (record(endpoint, ratePerSecond, monotonicNow(), "response")) {
                listeners.notify(endpoint.id);
            }
        },
        keepOnly: endpoints => {
            for (const id of [...limits.keys()].filter(each => !endpoints.has(each))) {
                limits.delete(id);
            }
        },
        topic: {
            name: "rate-limits",
            keys: () => [...limits.keys()],
            read,
            isPreliminary: () => false,
            merge,
            registerListener: listeners.register,
        },
    };
};
