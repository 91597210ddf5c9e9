import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { hashText } from "../hashText.js";
import { HOME_PLACES } from "./HOME_PLACES.js";

const HASH_RANGE = 2 ** 32;
/** Places of an object on the side that is not its home, this region or the others. */
const OTHER_PLACES = 1;

const score = (key: string, endpoint: UpstreamEndpoint): number => {
    const drawn = (hashText(`${key}/${endpoint.id}`) + 1) / (HASH_RANGE + 1);
    return -endpoint.slots / Math.log(drawn);
};

const bestOf = (
    key: string,
    endpoints: readonly UpstreamEndpoint[],
    count: number,
): readonly UpstreamEndpoint[] =>
    endpoints
        .map(endpoint => ({ endpoint, score: score(key, endpoint) }))
        .sort((left, right) => right.score - left.score || (left.endpoint.id < right.endpoint.id ? -1 : 1))
        .slice(0, count)
        .map(each => each.endpoint);

const isHomedNear = (key: string, homeShare: number): boolean =>
    (hashText(`home/${key}`) + 0.5) / HASH_RANGE < homeShare;

/**
 * Ranks the endpoints that may keep the data of an object warm, by weighted rendezvous hashing: every
 * instance finds the same order, and an endpoint that joins or leaves moves only its own objects. The load
 * pattern it answers: many callers ask for the same few objects, and an endpoint that ran a request for the
 * object lately does so in a fraction of the time. The number of places is bounded, because each further
 * copy displaces another object.
 *
 * @param key - identifies the object
 * @param endpoints - the endpoints that may be used
 * @param region - the region of this instance
 * @param homeShare - part of the objects whose first place is in this region, 0 to 1
 * @returns the places, the preferred one first
 */
export const rankEndpoints = (
    key: string,
    endpoints: readonly UpstreamEndpoint[],
    region: string,
    homeShare: number,
): readonly UpstreamEndpoint[] => {
    const isNear = (endpoint: UpstreamEndpoint): boolean => endpoint.region === region;
    const near = bestOf(key, endpoints.filter(isNear), HOME_PLACES);
    const far = bestOf(key, endpoints.filter(endpoint => !isNear(endpoint)), HOME_PLACES);
    return isHomedNear(key, homeShare)
        ? [...near, ...far.slice(0, OTHER_PLACES)]
        : [...far, ...near.slice(0, OTHER_PLACES)];
};
