import { rendezvous } from "../rendezvous.js";
import { findStoreAge } from "./findStoreAge.js";
import type { PeerState } from "./PeerState.js";

/**
 * Tells whether an instance follows the store itself. One instance of each region does; the others hear
 * of changes from whichever instance knows more. When nobody's knowledge is fresh, everybody follows.
 *
 * @param own - name and region of this instance
 * @param live - the live peers
 * @param now - the steady clock, in milliseconds
 * @param maxAgeMs - age up to which a peer's knowledge of the store counts as fresh, in milliseconds
 * @returns true when this instance should follow
 */
export const isStoreFollower = (
    own: { readonly name: string; readonly region: string; },
    live: readonly PeerState[],
    now: number,
    maxAgeMs: number,
): boolean => {
    const ageMs = findStoreAge(undefined, live, now);
    if (ageMs === undefined || ageMs > maxAgeMs) {
        return true;
    }
    const near = live.filter(peer => peer.report.region === own.region && peer.report.isReady);
    const [first] = rendezvous("store-follower", [own.name, ...near.map(peer => peer.report.name)]);
    return first === own.name;
};
