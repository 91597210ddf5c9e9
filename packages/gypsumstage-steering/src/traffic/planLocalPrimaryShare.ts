import type { SideLoads } from "./SideLoads.js";
import { stepTowards } from "./stepTowards.js";

/** Change of a share per second that moves so few objects that it does no harm where there is no need for it. */
const SLOW_CHANGE_PER_SECOND = 0.002;
/** Change per second while one side is overloaded: 0.04 in a window of the shift limit, a quarter of what that allows. */
const FAST_CHANGE_PER_SECOND = 0.02;
/** Requests per slot of a side from which objects are moved away from it, and least difference to the other side. */
const HIGH_LOAD_PER_SLOT = 0.75;
const MIN_LOAD_DIFFERENCE_PER_SLOT = 0.1;

/**
 * Plans the share of a region's objects whose primary endpoint is in the region, while peaks move between the regions. The
 * share that follows from the demand is approached quickly only where the stated loads show the same need: the side that
 * objects are to leave is nearly full, and the other one is less so. The demand does not change when objects move, so the
 * share does not oscillate. Moving objects causes work on cold data, so the share changes slowly while no side is full.
 *
 * @param share - the share so far
 * @param fairShare - the share that follows from the demand
 * @param loads - the load on both sides; undefined while it is not known
 * @param elapsedMs - time since the share was last changed
 * @returns the next share
 */
export const planLocalPrimaryShare = (
    share: number,
    fairShare: number,
    loads: SideLoads | undefined,
    elapsedMs: number,
): number => {
    const [left, entered] = fairShare < share
        ? [loads?.local ?? 0, loads?.elsewhere ?? 0]
        : [loads?.elsewhere ?? 0, loads?.local ?? 0];
    const isNeeded = left >= HIGH_LOAD_PER_SLOT && left - entered >= MIN_LOAD_DIFFERENCE_PER_SLOT;
    const changePerSecond = isNeeded ? FAST_CHANGE_PER_SECOND : SLOW_CHANGE_PER_SECOND;
    return stepTowards(share, fairShare, changePerSecond * elapsedMs / 1_000);
};
