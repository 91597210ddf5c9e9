import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import { findStoreAge } from "./findStoreAge.js";
import type { PeerState } from "./PeerState.js";

/**
 * Returns whether this instance should follow the store itself. One instance of each region does, and the
 * others fetch changes from any instance with a more recent copy. While no peer has read the store recently,
 * every instance follows it.
 *
 * @param own - name and region of this instance
 * @param livePeers - the peers with a recent report
 * @param nowMs - current monotonic time
 * @param maxAgeMs - age up to which a peer's last read of the store counts as recent
 * @returns true when this instance should follow the store
 */
export const shouldFollowStore = (
    own: { readonly name: string; readonly region: string; },
    livePeers: readonly PeerState[],
    nowMs: number,
    maxAgeMs: number,
): boolean => {
    const ageMs = findStoreAge(undefined, livePeers, nowMs);
    if (ageMs === undefined || ageMs > maxAgeMs) {
        return true;
    }
    const readyInRegion = livePeers.filter(peer => peer.report.region === own.region && peer.report.isReady);
    const [follower] = rankByRendezvousHash("store-follower", [
        own.name,
        ...readyInRegion.map(peer => peer.report.name),
    ]);
    return follower === own.name;
};
