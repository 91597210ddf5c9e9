import { REGION_BUCKET_MS } from "./REGION_BUCKET_MS.js";
import { REGION_WINDOW_MS } from "./REGION_WINDOW_MS.js";
import type { RegionCounts } from "./RegionCounts.js";

/**
 * Adds requests that were placed in a region, and drops the buckets that are older than two windows.
 *
 * @param counts - the counts so far
 * @param region - the region in which they run
 * @param nowMs - current monotonic time
 * @param added - number of requests
 * @returns the next counts
 */
export const addPlacements = (
    counts: RegionCounts,
    region: string,
    nowMs: number,
    added: number,
): RegionCounts => {
    const currentBucket = Math.floor(nowMs / REGION_BUCKET_MS);
    const oldestBucket = currentBucket - 2 * REGION_WINDOW_MS / REGION_BUCKET_MS;
    const buckets = new Map([...counts.buckets].filter(([bucket]) => bucket >= oldestBucket));
    const before = buckets.get(currentBucket) ?? {};
    buckets.set(currentBucket, { ...before, [region]: (before[region] ?? 0) + added });
    return { buckets };
};
