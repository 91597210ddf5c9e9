import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { addPlacements } from "@gypsumstage/steering/traffic/addPlacements";
import { isRegionShiftAllowed } from "@gypsumstage/steering/traffic/isRegionShiftAllowed";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { RegionCounts } from "@gypsumstage/steering/traffic/RegionCounts";
import type { RegionShiftLimiter } from "./RegionShiftLimiter.js";

/** Used share of the limit; the remainder covers placements of other instances since their last report. */
const USED_SHIFT_SHARE = 0.8;

type PlacementReport = Pick<PeerReport, "name" | "incarnation" | "placed">;

/**
 * Creates the limiter of shifts between regions. It counts the placements of all instances of this region,
 * because the load of a single instance fluctuates too much to distinguish a shift from noise.
 *
 * @param maxShift - returns the share, 0 to 1, of the requests that may change region between two windows
 * @param reports - returns the latest reports of the other instances of this region
 * @returns the limiter
 */
export const createRegionShiftLimiter = (
    maxShift: () => number,
    reports: () => readonly PlacementReport[],
): RegionShiftLimiter => {
    let counts: RegionCounts = { buckets: new Map() };
    const placed = new Map<string, number>();
    const lastReports = new Map<string, PlacementReport>();
    const applyReport = (report: PlacementReport): void => {
        const previous = lastReports.get(report.name);
        if (previous === report) {
            return;
        }
        lastReports.set(report.name, report);
        if (previous?.incarnation !== report.incarnation) {
            return;
        }
        for (const [region, count] of Object.entries(report.placed)) {
            const added = count - (previous.placed[region] ?? 0);
            counts = addPlacements(counts, region, monotonicNow(), added);
        }
    };
    return {
        allows: region => {
            reports().forEach(applyReport);
            return isRegionShiftAllowed(counts, region, monotonicNow(), USED_SHIFT_SHARE * maxShift());
        },
        recordPlacement: region => {
            placed.set(region, (placed.get(region) ?? 0) + 1);
            counts = addPlacements(counts, region, monotonicNow(), 1);
        },
        placed: () => Object.fromEntries(placed),
    };
};
