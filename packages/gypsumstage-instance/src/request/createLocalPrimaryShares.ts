import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { computeLocalPrimaryShare } from "@gypsumstage/steering/traffic/computeLocalPrimaryShare";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import { stepTowards } from "@gypsumstage/steering/traffic/stepTowards";
import type { LocalPrimaryShares } from "./LocalPrimaryShares.js";

/** Maximum change of a share per second; low, as an object whose primary endpoint changes is cold at the new one. */
const MAX_CHANGE_PER_SECOND = 0.002;
/** Minimum time between two updates of a share. */
const MIN_UPDATE_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;

interface TimedShare {
    readonly share: number;
    readonly updatedAtMs: number;
}

/**
 * Creates the function that returns the share of objects whose primary endpoint is in this region. The
 * initial share assumes equal demand in all regions, so that a restarted instance starts from the same
 * candidate endpoints as before. From then on the share follows the demand that all instances report, at a
 * limited rate, so that load fluctuations of a few seconds do not move objects.
 *
 * @param region - the region of this instance
 * @param view - returns the current view of the fleet
 * @param reports - returns the latest reports of all live instances, this one included
 * @returns the function, which updates the share of a service when called
 */
export const createLocalPrimaryShares = (
    region: string,
    view: () => FleetView,
    reports: () => readonly Pick<PeerReport, "region" | "demand">[],
): LocalPrimaryShares => {
    const shares = new Map<string, TimedShare>();
    const sumDemand = (service: string): { readonly local: number; readonly total: number; } => {
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
        const demand = previous === undefined ? { local: 1, total: countRegions() } : sumDemand(service);
        const target = computeLocalPrimaryShare(sumSlots(service), demand);
        const maxStep = previous === undefined
            ? 1
            : MAX_CHANGE_PER_SECOND * (nowMs - previous.updatedAtMs) / MS_PER_SECOND;
        const share = stepTowards(previous?.share ?? target, target, maxStep);
        shares.set(service, { share, updatedAtMs: nowMs });
        return share;
    };
};
