import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import { isStoreReader } from "./isStoreReader.js";
import type { PeerState } from "./PeerState.js";
import type { StoreReaderLimits } from "./StoreReaderLimits.js";

/** Time after its start in which an instance gets to know the others of its region. */
const INTRODUCTION_MS = 200;

/**
 * Returns whether this instance should follow the store itself. Of the instances of a region that do, all but the first by
 * rendezvous hashing stop; the others fetch changes from any instance with a more recent copy. An instance steps in when it
 * hears no reader in its region, whoever may seem to be live there. When many start at the same moment, no reader can be heard yet:
 * then only the first of the known ones of the region reads, and the others wait for as long as a reader may be silent.
 *
 * @param own - name and region of this instance
 * @param peers - the other instances, live or not
 * @param runningMs - time since this instance started, in milliseconds
 * @param nowMs - current monotonic time
 * @param limits - up to when a peer counts as reading the store
 * @returns true when this instance should follow the store
 */
export const shouldFollowStore = (
    own: { readonly name: string; readonly region: string; },
    peers: readonly PeerState[],
    runningMs: number,
    nowMs: number,
    limits: StoreReaderLimits,
): boolean => {
    const inRegion = peers.filter(peer => peer.report.region === own.region);
    const readers = inRegion.filter(peer => isStoreReader(peer, nowMs, limits));
    const isStarting = runningMs < limits.maxSilenceMs && readers.length === 0;
    const candidates = isStarting ? inRegion : readers;
    const [first] = rankByRendezvousHash("store-follower", [
        own.name,
        ...candidates.map(peer => peer.report.name),
    ]);
    return first === own.name && (!isStarting || runningMs >= INTRODUCTION_MS);
};
