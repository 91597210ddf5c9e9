/** Capacity of the token bucket of an event, in entries. */
const BURST_ENTRIES = 40;
/** Refill rate of the token bucket of an event. */
const ENTRIES_PER_SECOND = 10;
const MS_PER_SECOND = 1_000;

interface TokenBucket {
    tokens: number;
    refilledAtMs: number;
    suppressedCount: number;
}

/**
 * Creates a rate limiter for log entries. Each event has its own token bucket, so that a frequent event does
 * not suppress the entries of a rare one.
 *
 * @param getNowMs - returns the monotonic time in milliseconds
 * @returns a function that is called with the event's name for each entry. It returns undefined if the entry
 * must be suppressed, otherwise the number of entries of the event suppressed since the last one written
 */
export const createLogRateLimiter = (getNowMs: () => number): (event: string) => number | undefined => {
    const buckets = new Map<string, TokenBucket>();
    return event => {
        const nowMs = getNowMs();
        const bucket = buckets.get(event)
            ?? { tokens: BURST_ENTRIES, refilledAtMs: nowMs, suppressedCount: 0 };
        buckets.set(event, bucket);
        const refill = (nowMs - bucket.refilledAtMs) / MS_PER_SECOND * ENTRIES_PER_SECOND;
        bucket.tokens = Math.min(BURST_ENTRIES, bucket.tokens + refill);
        bucket.refilledAtMs = nowMs;
        if (bucket.tokens < 1) {
            bucket.suppressedCount += 1;
            return undefined;
        }
        bucket.tokens -= 1;
        const { suppressedCount } = bucket;
        bucket.suppressedCount = 0;
        return suppressedCount;
    };
};
