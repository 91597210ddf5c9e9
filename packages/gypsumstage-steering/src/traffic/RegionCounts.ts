/** Requests placed in each region, counted in time buckets. */
export interface RegionCounts {
    /** Counts by region, keyed by the bucket's number since the monotonic clock's origin; old buckets are dropped. */
    readonly buckets: ReadonlyMap<number, Readonly<Record<string, number>>>;
}
