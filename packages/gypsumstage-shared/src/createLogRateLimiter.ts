/** Capacity of the token bucket of an event, in entries. */
const BURST_ENTRIES = 40;
/** Refill rate of the token bucket of an event. */
const ENTRIES_PER_SECOND = 10;
const MS_PER_SECOND = 1_000;

interface TokenBucket {
    tokens: number;
    refilledAtMs: number;
    leftOut: number;
}

/**
 * Creates a rate limiter for log entries. Each event has its own token bucket, so that a frequent event does
 * not suppress the entries of a rare one.
 *
 * @param now - returns the monotonic time in milliseconds
 * @returns a function that takes the event's name. It returns undefined if this entry must be suppressed,
 * otherwise the number of entries of the event that were suppressed since the last one written
 */
export const createLogRateLimiter = (now: () => number): (event: string) => number | undefined => {
    const buckets = new Map<string, TokenBucket>();
    return event => {
        const nowMs = now();
        const bucket = buckets.get(event) ?? { tokens: BURST_ENTRIES, refilledAtMs: nowMs, leftOut: 0 };
        buckets.set(event, bucket);
        const refill = (nowMs - bucket.refilledAtMs) / MS_PER_SECOND * ENTRIES_PER_SECOND;
        bucket.tokens = Math.min(BURST_ENTRIES, bucket.tokens + refill);
        bucket.refilledAtMs = nowMs;
        if (bucket.tokens < 1) {
            bucket.leftOut += 1;
            return undefined;
        }
        bucket.tokens -= 1;
        const { leftOut } = bucket;
        bucket.leftOut = 0;
        return leftOut;
    };
};
