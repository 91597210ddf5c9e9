import type { PeerAddresses } from "./PeerAddresses.js";

/**
 * Chooses a random peer to pull from in one round, alternately in the own data centre and in other data centres.
 * When there is none of that kind, any peer is chosen.
 *
 * @param peers - addresses of all peers
 * @param round - number of the round
 * @param random - returns a number from 0 (inclusive) to 1 (exclusive)
 * @returns an array of one address, or an empty one when there are no peers
 */
export const choosePeerAddress = (
    { local, remote }: PeerAddresses,
    round: number,
    random: () => number,
): readonly string[] => {
    const preferred = round % 2 === 0 ? local : remote;
    const addresses = preferred.length > 0 ? preferred : [...local, ...remote];
    const chosen = addresses[Math.floor(random() * addresses.length)];
    return chosen === undefined ? [] : [chosen];
};
