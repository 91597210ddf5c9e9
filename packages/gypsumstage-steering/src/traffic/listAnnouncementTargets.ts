import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import { isStoreReader } from "./isStoreReader.js";
import type { PeerState } from "./PeerState.js";
import { STORE_READER_KEY } from "./STORE_READER_KEY.js";

/** Instances of a region without a reader that get announcements and pass changes on. */
const RELAYS_PER_REGION = 2;

const listRegionTargets = (
    inRegion: readonly PeerState[],
    nowMs: number,
    maxStoreAgeMs: number,
): readonly PeerState[] => {
    const readers = inRegion.filter(peer => isStoreReader(peer, nowMs, maxStoreAgeMs));
    if (readers.length > 0) {
        return readers;
    }
    const ranked = rankByRendezvousHash(STORE_READER_KEY, inRegion.map(peer => peer.report.name));
    const relays = new Set(ranked.slice(0, RELAYS_PER_REGION));
    return inRegion.filter(peer => relays.has(peer.report.name));
};

/**
 * Lists the instances to which a reader of the store announces: all of its region, and the readers of the other regions,
 * who pass changes on to theirs. Where a region has no reader, as when it is cut off from the store, two of its instances take their
 * place. Their number follows the size of a region and the number of regions.
 *
 * @param region - region of the reader
 * @param livePeers - the live peers
 * @param nowMs - current monotonic time
 * @param maxStoreAgeMs - age of its last read of the store up to which a peer is a reader, in milliseconds
 * @returns the instances
 */
export const listAnnouncementTargets = (
    region: string,
    livePeers: readonly PeerState[],
    nowMs: number,
    maxStoreAgeMs: number,
): readonly PeerState[] => {
    const byRegion = new Map<string, PeerState[]>();
    for (const peer of livePeers) {
        const inRegion = byRegion.get(peer.report.region) ?? [];
        inRegion.push(peer);
        byRegion.set(peer.report.region, inRegion);
    }
    return [...byRegion].flatMap(([name, inRegion]) =>
        name === region ? inRegion : listRegionTargets(inRegion, nowMs, maxStoreAgeMs)
    );
};
