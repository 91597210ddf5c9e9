import type { DiscoveryPlan } from "./DiscoveryPlan.js";

/** Listed addresses: more than the parts into which a fleet falls, and few enough to be asked all. */
const MAX_ADDRESSES = 8;

/**
 * Decides what an instance does about the list of addresses at which the fleet can be found. Each part of the fleet keeps a live
 * instance of its own in the list, so that every part finds the others. An instance that knows nobody tries the listed
 * addresses first; if none replies, it lists itself only, so that a part which can't be reached from here shows by listing itself again.
 * Workload: instances that start, or are parted, while the seeds of their settings are gone.
 *
 * @param listed - the addresses in the list
 * @param ownAddress - address of this instance
 * @param live - addresses of the other instances that are live
 * @param tried - addresses to which this instance has introduced itself before
 * @param mayReplace - whether it may list itself only; false for some time after it has done so
 * @returns whom to introduce this instance to, and the next list
 */
export const planDiscovery = (
    listed: readonly string[],
    ownAddress: string,
    live: ReadonlySet<string>,
    tried: ReadonlySet<string>,
    mayReplace: boolean,
): DiscoveryPlan => {
    const introduceTo = listed.filter(address => address !== ownAddress && !live.has(address));
    const isRepresented = listed.some(address => address === ownAddress || live.has(address));
    if (live.size > 0) {
        const nextAddresses = isRepresented ? undefined : [ownAddress, ...listed].slice(0, MAX_ADDRESSES);
        return { introduceTo, nextAddresses };
    }
    const isOnlyOne = listed.length === 1 && isRepresented;
    const isReplacing = mayReplace && !isOnlyOne && introduceTo.every(address => tried.has(address));
    return { introduceTo, nextAddresses: isReplacing ? [ownAddress] : undefined };
};
