import type { PeerState } from "./PeerState.js";

/**
 * Finds how old the freshest knowledge of the store is, this instance's own or a peer's.
 *
 * @param ownAgeMs - age of this instance's own knowledge, in milliseconds; undefined when it has none
 * @param live - the live peers
 * @param now - the steady clock, in milliseconds
 * @returns the age, in milliseconds; undefined when nobody has heard from the store
 */
export const findStoreAge = (
    ownAgeMs: number | undefined,
    live: readonly PeerState[],
    now: number,
): number | undefined => {
    const peerAges = live.map(({ report, heardAt }) =>
        report.storeAgeMs === undefined ? undefined : report.storeAgeMs + now - heardAt
    );
    const known = [ownAgeMs, ...peerAges].filter(age => age !== undefined);
    return known.length === 0 ? undefined : Math.min(...known);
};
