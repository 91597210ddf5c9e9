/** Sliding-window counter with time buckets, so that the events in any period of the window's length can be bounded. */
export interface SlidingWindowCounter {
    /** Counts keyed by the bucket's number since the monotonic clock's origin; old buckets are dropped. */
    readonly buckets: ReadonlyMap<number, number>;
}
