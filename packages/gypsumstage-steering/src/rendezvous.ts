import { hashText } from "./hashText.js";

/**
 * Orders names by rendezvous hashing: taking one name out leaves the order of the others as it was.
 *
 * @param key - what is to be assigned
 * @param names - the candidates
 * @returns the candidates, the preferred one first
 */
export const rendezvous = (key: string, names: readonly string[]): readonly string[] => {
    const scored = names.map(name => ({ name, score: hashText(`${key}/${name}`) }));
    scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
    return scored.map(each => each.name);
};
