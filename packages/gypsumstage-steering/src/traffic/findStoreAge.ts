import { getStoreAge } from "./getStoreAge.js";
import type { PeerState } from "./PeerState.js";

/**
 * Returns the time since any instance last read the store, from this instance's own read and what the peers told.
 *
 * @param ownAgeMs - time since this instance last read the store; undefined when it does not follow the store
 * @param livePeers - the live peers
 * @param nowMs - current monotonic time
 * @returns the age, in milliseconds; undefined when neither this instance nor a live peer has read the store
 */
export const findStoreAge = (
    ownAgeMs: number | undefined,
    livePeers: readonly PeerState[],
    nowMs: number,
): number | undefined => {
    const peerAges = livePeers.map(peer => getStoreAge(peer, nowMs));
    const ages = [ownAgeMs, ...peerAges].filter(age => age !== undefined);
    return ages.length === 0 ? undefined : Math.min(...ages);
};
