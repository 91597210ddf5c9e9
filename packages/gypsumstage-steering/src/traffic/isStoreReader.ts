import { getStoreAge } from "./getStoreAge.js";
import type { PeerState } from "./PeerState.js";

/**
 * Returns whether a peer reads the store now, as far as this instance can know.
 *
 * @param peer - the peer
 * @param nowMs - current monotonic time
 * @param maxStoreAgeMs - longest time since its last read of the store, in milliseconds, its silence included
 * @returns true when it is ready and has read the store recently
 */
export const isStoreReader = (peer: PeerState, nowMs: number, maxStoreAgeMs: number): boolean => {
    const ageMs = getStoreAge(peer, nowMs);
    return peer.report.isReady && ageMs !== undefined && ageMs <= maxStoreAgeMs;
};
