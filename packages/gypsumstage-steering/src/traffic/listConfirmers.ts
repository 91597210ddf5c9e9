import type { PeerState } from "./PeerState.js";
import type { PeerView } from "./PeerView.js";

/** Instances that are asked one after the other. */
const MAX_CONFIRMERS = 3;

/**
 * Lists the instances to ask for a confirmation of the configuration: a reader of the store of the own region, one near, and one
 * elsewhere, readers first. The lists differ between instances, so that not all depend on the same ones.
 *
 * @param own - location of this instance
 * @param peers - the live instances
 * @param random - returns a number from 0 up to 1
 * @returns the instances, in the order in which they are asked
 */
export const listConfirmers = (
    own: Pick<PeerView, "dataCentre" | "region">,
    peers: readonly PeerState[],
    random: () => number,
): readonly PeerState[] => {
    const pick = (candidates: readonly PeerState[]): readonly PeerState[] => {
        const readers = candidates.filter(({ report }) => report.storeAgeMs !== undefined);
        const preferred = readers.length > 0 ? readers : candidates;
        const chosen = preferred[Math.floor(random() * preferred.length)];
        return chosen === undefined ? [] : [chosen];
    };
    const inRegion = peers.filter(({ report }) => report.region === own.region);
    const readers = pick(inRegion.filter(({ report }) => report.storeAgeMs !== undefined));
    const inDataCentre = inRegion.filter(({ report }) => report.dataCentre === own.dataCentre);
    const others = (candidates: readonly PeerState[]): readonly PeerState[] =>
        candidates.filter(peer => !readers.includes(peer));
    const near = others(inDataCentre).length > 0 ? others(inDataCentre) : others(inRegion);
    const elsewhere = peers.filter(({ report }) => report.region !== own.region);
    return [...readers, ...pick(near), ...pick(elsewhere)].slice(0, MAX_CONFIRMERS);
};
