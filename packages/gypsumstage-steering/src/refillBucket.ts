import type { TokenBucket } from "./TokenBucket.js";

const MS_PER_SECOND = 1_000;

/**
 * Adds the tokens for the time since the last refill to a bucket.
 *
 * @param bucket - the bucket as of its last refill
 * @param nowMs - the monotonic time
 * @param ratePerSecond - tokens added per second
 * @param capacity - maximum number of tokens
 * @returns the refilled bucket
 */
export const refillBucket = (
    bucket: TokenBucket,
    nowMs: number,
    ratePerSecond: number,
    capacity: number,
): TokenBucket => {
    const addedTokens = Math.max(0, nowMs - bucket.refilledAtMs) / MS_PER_SECOND * ratePerSecond;
    return { tokens: Math.min(capacity, bucket.tokens + addedTokens), refilledAtMs: nowMs };
};
