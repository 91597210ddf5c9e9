import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { listColdOwners } from "@gypsumstage/steering/traffic/listColdOwners";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import { LRUCache } from "lru-cache";
import type { ColdRateLimiter } from "./ColdRateLimiter.js";
import { createEndpointCache } from "./createEndpointCache.js";

/**
 * Instances that share a cold endpoint's rate limit (its owners). For a while more may act as owners, because
 * instances can differ on which peers are live.
 */
const OWNERS = 3;
/** Equal shares into which the rate limit is divided: one more than the owners. */
const SHARES = 4;
const MS_PER_SECOND = 1_000;
/** Time for which the owners of an endpoint are kept, as ranking all instances for each request costs too much. */
const OWNERS_TTL_MS = 500;
/** Endpoints whose last request is remembered; ids are not used again, so older ones must go. */
const MAX_ENDPOINTS = 10_000;

/**
 * Creates the limiter of this instance's requests to cold endpoints. A few owners of an endpoint get an equal
 * share of the rate that it tolerates; the other instances get none.
 *
 * @param ownName - name of this instance
 * @param live - returns the live instances, this one included
 * @param isSettled - returns false while this instance does not know the others yet, and so is no owner
 * @param getRate - returns the requests per second that a cold endpoint of a service tolerates
 * @returns the limiter
 */
export const createColdRateLimiter = (
    ownName: string,
    live: () => readonly Pick<PeerReport, "name" | "region">[],
    isSettled: () => boolean,
    getRate: (service: string) => number,
): ColdRateLimiter => {
    const nextAtMs = new LRUCache<string, number>({ max: MAX_ENDPOINTS });
    const isOwner = createEndpointCache(
        OWNERS_TTL_MS,
        endpoint => listColdOwners(endpoint, live(), OWNERS).includes(ownName),
    );
    return {
        isAvailable: endpoint =>
            isSettled() && (nextAtMs.get(endpoint.id) ?? 0) <= monotonicNow() && isOwner(endpoint),
        take: (endpoint: UpstreamEndpoint) => {
            const ratePerSecond = getRate(endpoint.service) / SHARES;
            nextAtMs.set(
                endpoint.id,
                monotonicNow() + MS_PER_SECOND / Math.max(ratePerSecond, 1 / MS_PER_SECOND),
            );
        },
    };
};
