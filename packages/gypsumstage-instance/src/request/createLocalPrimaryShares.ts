import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { computeLocalPrimaryShare } from "@gypsumstage/steering/traffic/computeLocalPrimaryShare";
import { extrapolateDemand } from "@gypsumstage/steering/traffic/extrapolateDemand";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import { planLocalPrimaryShare } from "@gypsumstage/steering/traffic/planLocalPrimaryShare";
import type { SideLoads } from "@gypsumstage/steering/traffic/SideLoads";
import type { LocalPrimaryShares } from "./LocalPrimaryShares.js";

/** Minimum time between two updates of a share. */
const MIN_UPDATE_INTERVAL_MS = 500;
/** Time over which the trend of the demand is taken; equal to the delay by the window in which demand is counted. */
const TREND_WINDOW_MS = 5_000;

interface RegionDemand {
    readonly local: number;
    readonly total: number;
}

interface TimedShare {
    readonly share: number;
    readonly updatedAtMs: number;
    /** Demand within the time of the trend, the oldest first. */
    readonly demands: readonly { readonly atMs: number; readonly demand: RegionDemand; }[];
}

/**
 * Creates the function that returns the share of objects whose primary endpoint is in this region. The
 * initial share assumes equal demand in all regions, so that a restarted instance starts from the same
 * candidate endpoints as before. From then on the share follows the demand that all instances report, at a
 * limited rate, so that load fluctuations of a few seconds do not move objects. Where the load of the endpoints is known, the
 * trend of the demand counts, and the rate depends on the need.
 *
 * @param region - the region of this instance
 * @param view - returns the current view of the fleet
 * @param reports - returns the latest reports of all live instances, this one included
 * @param sideLoads - returns the load of a service's endpoints in this region and in the others; undefined where it is not used
 * @returns the function, which updates the share of a service when called
 */
export const createLocalPrimaryShares = (
    region: string,
    view: () => FleetView,
    reports: () => readonly Pick<PeerReport, "region" | "demand">[],
    sideLoads: (service: string) => SideLoads | undefined = () => undefined,
): LocalPrimaryShares => {
    const shares = new Map<string, TimedShare>();
    const sumDemand = (service: string): RegionDemand => {
        const byRegion = new Map<string, number>();
        for (const report of reports()) {
            const demand = report.demand[service] ?? 0;
            byRegion.set(report.region, (byRegion.get(report.region) ?? 0) + demand);
        }
        const total = [...byRegion.values()].reduce((sum, each) => sum + each, 0);
        return { local: byRegion.get(region) ?? 0, total };
    };
    const sumSlots = (service: string): { readonly local: number; readonly total: number; } => {
        const usable = (view().endpointsByService.get(service) ?? []).filter(endpoint =>
            !endpoint.isDraining && !view().evacuatedDataCentres.has(endpoint.dataCentre)
        );
        const sumOf = (endpoints: typeof usable): number =>
            endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
        return { local: sumOf(usable.filter(endpoint => endpoint.region === region)), total: sumOf(usable) };
    };
    const countRegions = (): number =>
        new Set([region, ...[...view().endpoints.values()].map(endpoint => endpoint.region)]).size;
    return service => {
        const nowMs = monotonicNow();
        const previous = shares.get(service);
        if (previous !== undefined && nowMs - previous.updatedAtMs < MIN_UPDATE_INTERVAL_MS) {
            return previous.share;
        }
        if (previous === undefined) {
            const share = computeLocalPrimaryShare(sumSlots(service), { local: 1, total: countRegions() });
            shares.set(service, { share, updatedAtMs: nowMs, demands: [] });
            return share;
        }
        const loads = sideLoads(service);
        const demand = sumDemand(service);
        const demands = [...previous.demands.filter(each => nowMs - each.atMs <= TREND_WINDOW_MS), {
            atMs: nowMs,
            demand,
        }];
        const expected = loads === undefined
            ? demand
            : extrapolateDemand(demands[0]?.demand ?? demand, demand);
        const fairShare = computeLocalPrimaryShare(sumSlots(service), expected);
        const share = planLocalPrimaryShare(previous.share, fairShare, loads, nowMs - previous.updatedAtMs);
        shares.set(service, { share, updatedAtMs: nowMs, demands });
        return share;
    };
};
