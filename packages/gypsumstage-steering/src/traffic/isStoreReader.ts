import { getStoreAge } from "./getStoreAge.js";
import type { PeerState } from "./PeerState.js";
import type { StoreReaderLimits } from "./StoreReaderLimits.js";

/**
 * Returns whether a peer reads the store now, as far as this instance can know.
 *
 * @param peer - the peer
 * @param nowMs - current monotonic time
 * @param limits - the silence and the age of its last read up to which it counts as a reader
 * @returns true when it is ready, was heard recently and has read the store recently
 */
export const isStoreReader = (peer: PeerState, nowMs: number, limits: StoreReaderLimits): boolean => {
    const ageMs = getStoreAge(peer, nowMs);
    return peer.report.isReady && ageMs !== undefined && ageMs <= limits.maxStoreAgeMs
        && nowMs - peer.heardAtMs <= limits.maxSilenceMs;
};
