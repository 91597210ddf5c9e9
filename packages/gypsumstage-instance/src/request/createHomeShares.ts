import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { chooseHomeShare } from "@gypsumstage/steering/traffic/chooseHomeShare";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import { stepTowards } from "@gypsumstage/steering/traffic/stepTowards";
import type { HomeShares } from "./HomeShares.js";

/** Change of a share within a second: an object that moves is not warm at its new place. */
const MAX_CHANGE_PER_SECOND = 0.002;
/** Time between two looks at the load, in milliseconds. */
const REFRESH_MS = 500;
const SECOND_MS = 1_000;

interface HomeShare {
    readonly share: number;
    readonly updatedAt: number;
}

/**
 * Creates the shares of objects that stay in the region. They begin with regions that ask for the same, so
 * that an instance which starts again finds the places of before, and follow the load that all instances
 * report slowly: swings of seconds move no object.
 *
 * @param region - the region of this instance
 * @param view - the view in force
 * @param reports - the latest reports of all live instances, this one included
 * @returns the shares
 */
export const createHomeShares = (
    region: string,
    view: () => FleetView,
    reports: () => readonly Pick<PeerReport, "region" | "demand">[],
): HomeShares => {
    const shares = new Map<string, HomeShare>();
    const sumDemand = (service: string): { readonly near: number; readonly all: number; } => {
        const byRegion = new Map<string, number>();
        for (const report of reports()) {
            const demand = report.demand[service] ?? 0;
            byRegion.set(report.region, (byRegion.get(report.region) ?? 0) + demand);
        }
        const all = [...byRegion.values()].reduce((sum, each) => sum + each, 0);
        return { near: byRegion.get(region) ?? 0, all };
    };
    const sumSlots = (service: string): { readonly near: number; readonly all: number; } => {
        const usable = (view().endpointsByService.get(service) ?? []).filter(endpoint =>
            !endpoint.isDraining && !view().evacuated.has(endpoint.dataCentre)
        );
        const count = (endpoints: typeof usable): number =>
            endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
        return { near: count(usable.filter(endpoint => endpoint.region === region)), all: count(usable) };
    };
    const countRegions = (): number =>
        new Set([region, ...[...view().endpoints.values()].map(endpoint => endpoint.region)]).size;
    return service => {
        const now = monotonicNow();
        const known = shares.get(service);
        if (known !== undefined && now - known.updatedAt < REFRESH_MS) {
            return known.share;
        }
        const demand = known === undefined ? { near: 1, all: countRegions() } : sumDemand(service);
        const target = chooseHomeShare(sumSlots(service), demand);
        const maxStep = known === undefined
            ? 1
            : MAX_CHANGE_PER_SECOND * (now - known.updatedAt) / SECOND_MS;
        const share = stepTowards(known?.share ?? target, target, maxStep);
        shares.set(service, { share, updatedAt: now });
        return share;
    };
};
