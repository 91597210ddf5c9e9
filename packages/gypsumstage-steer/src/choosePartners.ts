import type { Partners } from "./Partners.js";

const pick = (addresses: readonly string[], random: () => number): readonly string[] => {
    const chosen = addresses[Math.floor(random() * addresses.length)];
    return chosen === undefined ? [] : [chosen];
};

/**
 * Chooses the peers to ask in one round: one of the own data centre and one of another.
 *
 * @param partners - all peers
 * @param random - returns a number from 0 up to 1
 * @returns addresses of steer processes
 */
export const choosePartners = ({ local, remote }: Partners, random: () => number): readonly string[] => [
    ...pick(local, random),
    ...pick(remote, random),
];
