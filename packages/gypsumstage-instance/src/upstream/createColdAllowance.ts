import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { listColdOwners } from "@gypsumstage/steering/traffic/listColdOwners";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { ColdAllowance } from "./ColdAllowance.js";

/** Instances that share a cold endpoint's allowance; some more may take themselves for owners for a while. */
const OWNERS = 3;
/** Shares into which the allowance is cut: one more than the owners. */
const SHARES = 4;
const SECOND_MS = 1_000;

/**
 * Creates this instance's part of the allowance of cold endpoints: an equal share of the rate for each of a
 * few owners, and nothing for the other instances.
 *
 * @param ownName - name of this instance
 * @param live - the live instances, this one included
 * @param rateOf - requests per second that a cold endpoint of a service tolerates
 * @returns the allowance
 */
export const createColdAllowance = (
    ownName: string,
    live: () => readonly Pick<PeerReport, "name" | "region">[],
    rateOf: (service: string) => number,
): ColdAllowance => {
    const nextAt = new Map<string, number>();
    return {
        isAvailable: endpoint =>
            (nextAt.get(endpoint.id) ?? 0) <= monotonicNow()
            && listColdOwners(endpoint, live(), OWNERS).includes(ownName),
        take: (endpoint: UpstreamEndpoint) => {
            const rate = rateOf(endpoint.service) / SHARES;
            nextAt.set(endpoint.id, monotonicNow() + SECOND_MS / Math.max(rate, 1 / SECOND_MS));
        },
    };
};
