import type { ServiceReach } from "./ServiceReach.js";

/** Shortest time between two checks. */
const MIN_CHECK_INTERVAL_MS = 250;
/** Time without a response to requests in flight after which the links are checked. */
const BUSY_SILENCE_MS = 600;
/** The same without requests in flight, so that the instance knows before the next request comes. */
const IDLE_SILENCE_MS = 1_000;

/**
 * Returns whether an instance should check its links to the endpoints of a service now.
 *
 * @param reach - what it knows of them
 * @param isBusy - whether requests are in flight there
 * @param nowMs - current monotonic time
 * @returns true after a failed connection, after a time without contact, and regularly while it is cut off
 */
export const isReachCheckDue = (reach: ServiceReach, isBusy: boolean, nowMs: number): boolean => {
    const sinceCheckMs = nowMs - reach.checkedAtMs;
    if (reach.isCut || reach.hasFailed) {
        return sinceCheckMs >= MIN_CHECK_INTERVAL_MS;
    }
    const silenceMs = Math.min(nowMs - reach.contactAtMs, sinceCheckMs);
    return silenceMs >= (isBusy ? BUSY_SILENCE_MS : IDLE_SILENCE_MS);
};
