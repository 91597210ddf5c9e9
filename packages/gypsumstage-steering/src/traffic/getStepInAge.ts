import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import type { PeerState } from "./PeerState.js";
import { STORE_READER_KEY } from "./STORE_READER_KEY.js";
import type { StoreReaderLimits } from "./StoreReaderLimits.js";

/** Instances of a region that step in one after the other; all further ones do so together. */
const STAGGERED_INSTANCES = 8;

/**
 * Returns the age at which an instance no longer relies on the readers of its region. The first ones step in sooner, so that
 * mostly the others hear of them in time and a whole region doesn't read the store at once.
 *
 * @param ownName - name of the instance
 * @param inRegion - the other instances of its region
 * @param limits - the ages at which the first and the last instances step in
 * @returns the age, in milliseconds
 */
export const getStepInAge = (
    ownName: string,
    inRegion: readonly PeerState[],
    { minStepInAgeMs, maxStepInAgeMs }: StoreReaderLimits,
): number => {
    const names = [ownName, ...inRegion.map(peer => peer.report.name)];
    const rank = rankByRendezvousHash(STORE_READER_KEY, names).indexOf(ownName);
    return minStepInAgeMs + (maxStepInAgeMs - minStepInAgeMs) * Math.min(1, rank / STAGGERED_INSTANCES);
};
