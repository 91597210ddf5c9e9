import type { TokenBucket } from "./TokenBucket.js";

const MS_PER_SECOND = 1_000;

/**
 * Refills a bucket for the time that has passed.
 *
 * @param bucket - the bucket
 * @param nowMs - the monotonic time
 * @param ratePerSecond - tokens a second
 * @param capacity - the bucket holds no more than this
 * @returns the refilled bucket
 */
export const refillBucket = (
    bucket: TokenBucket,
    nowMs: number,
    ratePerSecond: number,
    capacity: number,
): TokenBucket => {
    const earned = Math.max(0, nowMs - bucket.refilledAtMs) / MS_PER_SECOND * ratePerSecond;
    return { tokens: Math.min(capacity, bucket.tokens + earned), refilledAtMs: nowMs };
};
