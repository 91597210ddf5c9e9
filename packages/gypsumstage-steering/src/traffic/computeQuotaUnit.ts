import type { QuotaRoster } from "./QuotaRoster.js";

/**
 * Computes the part of each usage cap that an instance may use or lend.
 *
 * @param roster - the instances among which caps are divided
 * @param nowMs - current time of the lease clock
 * @returns an equal part; 0 while the others may not count this instance
 */
export const computeQuotaUnit = (roster: QuotaRoster, nowMs: number): number =>
    nowMs < roster.abstainsUntilMs ? 0 : 1 / Math.max(1, roster.liveAtMs.size);
