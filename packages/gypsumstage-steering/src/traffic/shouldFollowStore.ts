import { rankByRendezvousHash } from "../rankByRendezvousHash.js";
import { getStepInAge } from "./getStepInAge.js";
import { isStoreReader } from "./isStoreReader.js";
import type { PeerState } from "./PeerState.js";
import { STORE_READER_KEY } from "./STORE_READER_KEY.js";
import type { StoreReaderLimits } from "./StoreReaderLimits.js";

/** Time after its start in which an instance gets to know the others of its region. */
const INTRODUCTION_MS = 200;
/** Time after its start in which an instance that hears no reader leaves reading to the first of its region. */
const START_MS = 1_500;

const isFirst = (ownName: string, candidates: readonly PeerState[]): boolean =>
    rankByRendezvousHash(STORE_READER_KEY, [ownName, ...candidates.map(peer => peer.report.name)])[0]
        === ownName;

/**
 * Returns whether this instance should follow the store itself. Of the instances of a region that do, all but the first by
 * rendezvous hashing stop; the others fetch changes from any instance with a more recent copy. An instance steps in when
 * no reader of its region has read the store recently, whoever may seem to be live there, and when its own copies are older than
 * that although one has: it relies on another instance's way to the store no longer than its bounds allow. When many start at the
 * same moment, no reader can be heard yet: then only the first of the known ones of the region reads.
 *
 * @param own - name and region of this instance
 * @param peers - the other instances, live or not
 * @param runningMs - time since this instance started, in milliseconds
 * @param nowMs - current monotonic time
 * @param copyAgeMs - age of this instance's copies, in milliseconds; undefined when they were never confirmed
 * @param limits - up to which age a peer's read of the store is relied on
 * @returns true when this instance should follow the store
 */
export const shouldFollowStore = (
    own: { readonly name: string; readonly region: string; },
    peers: readonly PeerState[],
    runningMs: number,
    nowMs: number,
    copyAgeMs: number | undefined,
    limits: StoreReaderLimits,
): boolean => {
    const inRegion = peers.filter(peer => peer.report.region === own.region);
    const listReaders = (maxAgeMs: number): readonly PeerState[] =>
        inRegion.filter(peer => isStoreReader(peer, nowMs, maxAgeMs));
    if (runningMs < START_MS && listReaders(limits.maxStepInAgeMs).length === 0) {
        return runningMs >= INTRODUCTION_MS && isFirst(own.name, inRegion);
    }
    const canRely = (maxAgeMs: number): boolean =>
        (copyAgeMs ?? runningMs) <= maxAgeMs && !isFirst(own.name, listReaders(maxAgeMs));
    return !canRely(limits.minStepInAgeMs) && !canRely(getStepInAge(own.name, inRegion, limits));
};
