import { hashText } from "./hashText.js";

/**
 * Orders names by rendezvous hashing: removing one name does not change the order of the others.
 *
 * @param key - the key to assign to a name
 * @param names - the candidates, without duplicates
 * @returns the candidates, the one with the highest score first
 */
export const rankByRendezvousHash = (key: string, names: readonly string[]): readonly string[] => {
    const scored = names.map(name => ({ name, score: hashText(`${key}/${name}`) }));
    scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
    return scored.map(each => each.name);
};
