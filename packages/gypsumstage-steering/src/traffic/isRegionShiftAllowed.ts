import { REGION_BUCKET_MS } from "./REGION_BUCKET_MS.js";
import { REGION_WINDOW_MS } from "./REGION_WINDOW_MS.js";
import type { RegionCounts } from "./RegionCounts.js";

type RequestsByRegion = ReadonlyMap<string, number>;

/** Requests in a window below which its shares are not significant. */
const MIN_REQUESTS = 24;

const sumByRegion = (counts: RegionCounts, afterBucket: number, lastBucket: number): RequestsByRegion => {
    const sums = new Map<string, number>();
    for (const [bucket, byRegion] of counts.buckets) {
        if (bucket > afterBucket && bucket <= lastBucket) {
            for (const [region, count] of Object.entries(byRegion)) {
                sums.set(region, (sums.get(region) ?? 0) + count);
            }
        }
    }
    return sums;
};

const total = (sums: RequestsByRegion): number => [...sums.values()].reduce((sum, each) => sum + each, 0);

/**
 * Returns whether one more request may be placed in a region without shifting too much load between regions.
 * Load that moves to another region runs there on cold data, so the share of the requests that changes its region
 * from one window to the next is bounded, also when random variation of the load adds to it.
 *
 * @param counts - recent placements by region
 * @param region - the region to check
 * @param nowMs - current monotonic time
 * @param maxShift - share of the requests that may change their region, 0 to 1
 * @returns false when the region's share grows and the total shift would exceed `maxShift`
 */
export const isRegionShiftAllowed = (
    counts: RegionCounts,
    region: string,
    nowMs: number,
    maxShift: number,
): boolean => {
    const currentBucket = Math.floor(nowMs / REGION_BUCKET_MS);
    const bucketsPerWindow = REGION_WINDOW_MS / REGION_BUCKET_MS;
    const before = sumByRegion(
        counts,
        currentBucket - 2 * bucketsPerWindow,
        currentBucket - bucketsPerWindow,
    );
    const recent = new Map(sumByRegion(counts, currentBucket - bucketsPerWindow, currentBucket));
    const beforeTotal = total(before);
    recent.set(region, (recent.get(region) ?? 0) + 1);
    const recentTotal = total(recent);
    if (beforeTotal < MIN_REQUESTS || recentTotal < MIN_REQUESTS) {
        return true;
    }
    const shareGain = (name: string): number =>
        Math.max(0, (recent.get(name) ?? 0) / recentTotal - (before.get(name) ?? 0) / beforeTotal);
    const totalShareGain = [...recent.keys()].reduce((sum, name) => sum + shareGain(name), 0);
    return shareGain(region) === 0 || totalShareGain <= maxShift;
};
