import type { PeerState } from "./PeerState.js";
import type { PeerTable } from "./PeerTable.js";

/**
 * Lists the instances from which a report or announcement was received recently.
 *
 * @param peers - all recorded instances
 * @param nowMs - current monotonic time
 * @param maxSilenceMs - time without a message after which an instance is no longer live
 * @returns the live instances
 */
export const listLivePeers = (
    peers: PeerTable,
    nowMs: number,
    maxSilenceMs: number,
): readonly PeerState[] => [...peers.values()].filter(peer => nowMs - peer.heardAtMs <= maxSilenceMs);
