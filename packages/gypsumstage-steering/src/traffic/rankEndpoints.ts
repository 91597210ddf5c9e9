import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { hashText } from "../hashText.js";
import { HOME_PLACES } from "./HOME_PLACES.js";

const HASH_RANGE = 2 ** 32;
/** Candidate endpoints of an object outside its home: in the other regions together, or in this region. */
const NON_HOME_CANDIDATES = 1;

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

const isHomeInRegion = (key: string, homeShare: number): boolean =>
    (hashText(`home/${key}`) + 0.5) / HASH_RANGE < homeShare;

/**
 * Ranks the candidate endpoints of an object by rendezvous hashing weighted by slots: every instance of a region
 * computes the same order, and an endpoint that joins or leaves moves only its own objects. Many callers request the
 * same few objects, and an endpoint that recently ran a request for an object runs the next one in a fraction of the
 * time. The number of candidates is bounded, because each further copy of an object's data evicts another object's.
 *
 * @param key - identifies the object
 * @param endpoints - the usable endpoints of the service
 * @param region - the region of this instance
 * @param homeShare - share of the objects that have their home in this region, 0 to 1
 * @returns the candidates, the primary one first
 */
export const rankEndpoints = (
    key: string,
    endpoints: readonly UpstreamEndpoint[],
    region: string,
    homeShare: number,
): readonly UpstreamEndpoint[] => {
    const isInRegion = (endpoint: UpstreamEndpoint): boolean => endpoint.region === region;
    const inRegion = selectTop(key, endpoints.filter(isInRegion), HOME_PLACES);
    const elsewhere = selectTop(key, endpoints.filter(endpoint => !isInRegion(endpoint)), HOME_PLACES);
    return isHomeInRegion(key, homeShare)
        ? [...inRegion, ...elsewhere.slice(0, NON_HOME_CANDIDATES)]
        : [...elsewhere, ...inRegion.slice(0, NON_HOME_CANDIDATES)];
};
