import type { CapBudget } from "./CapBudget.js";
import type { QuotaBucket } from "./QuotaBucket.js";

const MS_PER_SECOND = 1_000;

/**
 * Refills a bucket. Rate and capacity are in proportion to its share, so those of all buckets add up to the budget. With
 * the share its permits end.
 *
 * @param bucket - the bucket as of its last refill
 * @param budget - what all instances together may issue
 * @param nowMs - current time of the lease clock
 * @param monotonicMs - current time of the monotonic clock
 * @returns the refilled bucket
 */
export const refillQuotaBucket = (
    bucket: QuotaBucket,
    budget: CapBudget,
    nowMs: number,
    monotonicMs: number,
): QuotaBucket => {
    if (nowMs >= bucket.shareUntilMs) {
        return { tokens: 0, refilledAtMs: monotonicMs, share: 0, shareUntilMs: 0 };
    }
    const elapsedSeconds = Math.max(0, monotonicMs - bucket.refilledAtMs) / MS_PER_SECOND;
    const tokens = bucket.tokens + elapsedSeconds * budget.ratePerSecond * bucket.share;
    return { ...bucket, tokens: Math.min(tokens, budget.stock * bucket.share), refilledAtMs: monotonicMs };
};
