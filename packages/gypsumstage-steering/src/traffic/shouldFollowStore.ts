import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import { isStoreReader } from "./isStoreReader.js";
import type { PeerState } from "./PeerState.js";
import type { StoreReaderLimits } from "./StoreReaderLimits.js";

/**
 * Returns whether this instance should follow the store itself. Of the instances of a region that do, all but the first by
 * rendezvous hashing stop; the others fetch changes from any instance with a more recent copy. An instance steps in when it
 * hears no reader in its region, whoever may seem to be live there.
 *
 * @param own - name and region of this instance
 * @param peers - the other instances, live or not
 * @param nowMs - current monotonic time
 * @param limits - up to when a peer counts as reading the store
 * @returns true when this instance should follow the store
 */
export const shouldFollowStore = (
    own: { readonly name: string; readonly region: string; },
    peers: readonly PeerState[],
    nowMs: number,
    limits: StoreReaderLimits,
): boolean => {
    const readers = peers.filter(peer =>
        peer.report.region === own.region && isStoreReader(peer, nowMs, limits)
    );
    const [first] = rankByRendezvousHash("store-follower", [
        own.name,
        ...readers.map(peer => peer.report.name),
    ]);
    return first === own.name;
};
