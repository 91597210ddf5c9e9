import type { SlidingWindowCounter } from "./SlidingWindowCounter.js";

/** Length of a time bucket, in milliseconds. */
const BUCKET_MS = 500;

/**
 * Adds events to a sliding-window counter and drops the buckets that are older than the window.
 *
 * @param counter - the counter so far
 * @param nowMs - current monotonic time
 * @param windowMs - length of the window
 * @param events - number of events to add; 0 only drops old buckets
 * @returns the next counter and the number of events within the window
 */
export const addEvents = (
    counter: SlidingWindowCounter,
    nowMs: number,
    windowMs: number,
    events: number,
): { readonly counter: SlidingWindowCounter; readonly total: number; } => {
    const currentBucket = Math.floor(nowMs / BUCKET_MS);
    const oldestBucket = Math.floor((nowMs - windowMs) / BUCKET_MS);
    const buckets = new Map([...counter.buckets].filter(([bucket]) => bucket >= oldestBucket));
    buckets.set(currentBucket, (buckets.get(currentBucket) ?? 0) + events);
    return { counter: { buckets }, total: [...buckets.values()].reduce((sum, each) => sum + each, 0) };
};
