import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { hashText } from "../hashText.js";
import { PRIMARY_SIDE_CANDIDATES } from "./PRIMARY_SIDE_CANDIDATES.js";

const HASH_RANGE = 2 ** 32;
/** Number of candidate endpoints of an object, on its primary side and on the other one. */
interface CandidateCounts {
    readonly primarySide: number;
    readonly otherSide: number;
}

const USUAL_COUNTS: CandidateCounts = { primarySide: PRIMARY_SIDE_CANDIDATES, otherSide: 1 };

const score = (key: string, endpoint: UpstreamEndpoint): number => {
    const uniform = (hashText(`${key}/${endpoint.id}`) + 1) / (HASH_RANGE + 1);
    return -endpoint.slots / Math.log(uniform);
};

const selectTop = (
    key: string,
    endpoints: readonly UpstreamEndpoint[],
    count: number,
): readonly UpstreamEndpoint[] =>
    endpoints
        .map(endpoint => ({ endpoint, score: score(key, endpoint) }))
        .sort((left, right) => right.score - left.score || (left.endpoint.id < right.endpoint.id ? -1 : 1))
        .slice(0, count)
        .map(ranked => ranked.endpoint);

const isPrimaryLocal = (key: string, localPrimaryShare: number): boolean =>
    (hashText(`home/${key}`) + 0.5) / HASH_RANGE < localPrimaryShare;

/**
 * Ranks the candidate endpoints of an object by rendezvous hashing weighted by slots: every instance of a region
 * computes the same order, and an endpoint that joins or leaves moves only its own objects. Many callers request the
 * same few objects, and an endpoint that recently ran a request for an object runs the next one in a fraction of the
 * time. The number of candidates is bounded, because each further copy of an object's data evicts another object's.
 *
 * @param key - identifies the object
 * @param endpoints - the usable endpoints of the service
 * @param region - the region of this instance
 * @param localPrimaryShare - share of the objects whose primary endpoint is in this region, 0 to 1
 * @param counts - how many candidates to return; more only where an object needs more, for the reason above
 * @returns the candidates, the primary one first, those of its side before those of the other one
 */
export const rankEndpoints = (
    key: string,
    endpoints: readonly UpstreamEndpoint[],
    region: string,
    localPrimaryShare: number,
    counts: CandidateCounts = USUAL_COUNTS,
): readonly UpstreamEndpoint[] => {
    const isInRegion = (endpoint: UpstreamEndpoint): boolean => endpoint.region === region;
    const count = Math.max(counts.primarySide, counts.otherSide);
    const inRegion = selectTop(key, endpoints.filter(isInRegion), count);
    const elsewhere = selectTop(key, endpoints.filter(endpoint => !isInRegion(endpoint)), count);
    return isPrimaryLocal(key, localPrimaryShare)
        ? [...inRegion.slice(0, counts.primarySide), ...elsewhere.slice(0, counts.otherSide)]
        : [...elsewhere.slice(0, counts.primarySide), ...inRegion.slice(0, counts.otherSide)];
};
