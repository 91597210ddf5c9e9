import { rankByRendezvousHash } from "../rankByRendezvousHash.js";

/** Two, so that one may end. */
const COLLECTORS = 2;

/**
 * Chooses the instances that collect the preliminary notices of a key, by rendezvous hashing.
 *
 * @param key - key of the notice
 * @param names - names of the live instances
 * @returns names of the collectors
 */
export const chooseCollectors = (key: string, names: readonly string[]): readonly string[] =>
    rankByRendezvousHash(`notice/${key}`, names).slice(0, COLLECTORS);
