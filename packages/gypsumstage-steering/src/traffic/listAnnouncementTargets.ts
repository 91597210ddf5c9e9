import { isStoreReader } from "./isStoreReader.js";
import type { PeerState } from "./PeerState.js";
import type { StoreReaderLimits } from "./StoreReaderLimits.js";

/**
 * Lists the instances to which a reader of the store announces: all of its region, and the readers of the other regions,
 * who pass changes on to theirs. Their number follows the size of a region and the number of regions.
 *
 * @param region - region of the reader
 * @param livePeers - the live peers
 * @param nowMs - current monotonic time
 * @param limits - up to when a peer counts as reading the store
 * @returns the instances
 */
export const listAnnouncementTargets = (
    region: string,
    livePeers: readonly PeerState[],
    nowMs: number,
    limits: StoreReaderLimits,
): readonly PeerState[] =>
    livePeers.filter(peer => peer.report.region === region || isStoreReader(peer, nowMs, limits));
