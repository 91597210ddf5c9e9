import type { PeerState } from "./PeerState.js";

/**
 * Returns the time since a peer last read the store, including the time since it told so.
 *
 * @param peer - the peer
 * @param nowMs - current monotonic time
 * @returns the age, in milliseconds; undefined when the peer does not read the store
 */
export const getStoreAge = ({ report, heardAtMs }: PeerState, nowMs: number): number | undefined =>
    report.storeAgeMs === undefined ? undefined : report.storeAgeMs + nowMs - heardAtMs;
