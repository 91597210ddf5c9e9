import type { CapBudget } from "./CapBudget.js";
import type { QuotaBucket } from "./QuotaBucket.js";
import { refillQuotaBucket } from "./refillQuotaBucket.js";

/**
 * Replaces the share of a bucket. Permits beyond the capacity of the new share are dropped, as another bucket may fill
 * in their place.
 *
 * @param bucket - the bucket so far
 * @param budget - what all instances together may issue
 * @param share - the new share, 0 to 1
 * @param untilMs - when the new share ends, on the lease clock
 * @param nowMs - current time of the lease clock
 * @param monotonicMs - current time of the monotonic clock
 * @returns the bucket with the new share
 */
export const setQuotaShare = (
    bucket: QuotaBucket,
    budget: CapBudget,
    share: number,
    untilMs: number,
    nowMs: number,
    monotonicMs: number,
): QuotaBucket => {
    const { tokens } = refillQuotaBucket(bucket, budget, nowMs, monotonicMs);
    return {
        tokens: Math.min(tokens, budget.stock * share),
        refilledAtMs: monotonicMs,
        share,
        shareUntilMs: untilMs,
    };
};
