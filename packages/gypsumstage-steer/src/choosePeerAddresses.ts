import type { PeerAddresses } from "./PeerAddresses.js";

/**
 * Chooses the peer to ask in one round: in turn one of the own data centre and one of another.
 *
 * @param partners - all peers
 * @param turn - number of the round
 * @param random - returns a number from 0 up to 1
 * @returns at most one address of a steer process
 */
export const choosePeerAddresses = (
    { local, remote }: PeerAddresses,
    turn: number,
    random: () => number,
): readonly string[] => {
    const preferred = turn % 2 === 0 ? local : remote;
    const addresses = preferred.length > 0 ? preferred : [...local, ...remote];
    const chosen = addresses[Math.floor(random() * addresses.length)];
    return chosen === undefined ? [] : [chosen];
};
