import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { chooseAtRandom } from "@gypsumstage/steering/traffic/chooseAtRandom";
import type { Introductions } from "./Introductions.js";

/** Introductions to an address that another instance named, until it counts as dead. */
const MAX_TRIES = 10;
/** Introductions to an address for each call of `retry`, as datagrams may be lost. */
const RETRIES = 3;
/** Time between two introductions to a seed while others are known, by which parts of a fleet that was split find each other again. */
const SEED_INTERVAL_MS = 2_000;

/**
 * Creates the introductions of an instance that has just started.
 *
 * @param getSeeds - returns the seeds of the present settings, which may name this instance
 * @param ownAddress - address of this instance, to which none goes
 * @returns the introductions
 */
export const createIntroductions = (
    getSeeds: () => readonly string[],
    ownAddress: string,
): Introductions => {
    const triesLeft = new Map<string, number>();
    let retriesLeft: ReadonlyMap<string, number> = new Map();
    const listOtherSeeds = (): readonly string[] => getSeeds().filter(seed => seed !== ownAddress);
    const firstSeed = (): string | undefined => chooseAtRandom(listOtherSeeds(), 1, Math.random)[0];
    let nextSeedAtMs = 0;
    const listSeeds = (isAnyLive: boolean): readonly string[] => {
        if (!isAnyLive) {
            return listOtherSeeds();
        }
        const seed = monotonicNow() < nextSeedAtMs ? undefined : firstSeed();
        return seed === undefined ? [] : [seed];
    };
    return {
        add: addresses => {
            for (const address of addresses.filter(each => each !== ownAddress && !triesLeft.has(each))) {
                triesLeft.set(address, MAX_TRIES);
            }
        },
        retry: addresses => {
            retriesLeft = new Map(addresses.map(address => [address, RETRIES]));
        },
        next: (known, isAnyLive) => {
            const due = [...triesLeft].filter(([address, left]) => left > 0 && !known.has(address));
            due.forEach(([address, left]) => triesLeft.set(address, left - 1));
            [...triesLeft.keys()].filter(address => known.has(address)).forEach(address =>
                triesLeft.delete(address)
            );
            const dueSeeds = listSeeds(isAnyLive);
            if (dueSeeds.length > 0) {
                nextSeedAtMs = monotonicNow() + SEED_INTERVAL_MS;
            }
            const retried = [...retriesLeft.keys()];
            retriesLeft = new Map(
                [...retriesLeft].filter(([, left]) => left > 1).map(([address, left]) => [address, left - 1]),
            );
            return [...new Set([...due.map(([address]) => address), ...dueSeeds, ...retried])];
        },
        firstSeed,
    };
};
