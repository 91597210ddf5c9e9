import type { FleetState } from "./FleetState.js";
import type { InstanceConfig } from "./InstanceConfig.js";
import type { OwnReport } from "./peers/OwnReport.js";
import type { ReachMonitor } from "./reach/ReachMonitor.js";
import type { RegionShiftLimiter } from "./request/RegionShiftLimiter.js";
import type { RetryBudget } from "./request/RetryBudget.js";
import type { EndpointTracker } from "./upstream/EndpointTracker.js";

/** What a report is made of. */
interface ReportParts {
    readonly cfg: () => Pick<InstanceConfig, "name" | "dataCentre" | "region" | "listen">;
    /** Random id of this run of the process. */
    readonly incarnation: string;
    readonly isReady: () => boolean;
    /** Whether keys are revoked strictly but cannot be confirmed now. */
    readonly isUnconfirmed: () => boolean;
    /** Time since this instance last read the store, in milliseconds; undefined when it doesn't follow the store. */
    readonly storeAgeMs: () => number | undefined;
    readonly fleet: Pick<FleetState, "topicVersions">;
    readonly reach: Pick<ReachMonitor, "cutServices">;
    readonly tracker: Pick<EndpointTracker, "inFlight" | "loads">;
    readonly retryBudget: Pick<RetryBudget, "demand">;
    readonly regionShiftLimiter: Pick<RegionShiftLimiter, "placed">;
}

/**
 * Creates the report that this instance sends to the others.
 *
 * @param parts - the running parts of the instance
 * @param peers - internal addresses of other instances, for builds that know no membership
 * @returns the report
 */
export const createOwnReport = (parts: ReportParts, peers: readonly string[]): OwnReport => {
    const { name, dataCentre, region, listen } = parts.cfg();
    const loads = parts.tracker.loads.listRecent();
    return {
        name,
        dataCentre,
        region,
        address: listen.requests,
        incarnation: parts.incarnation,
        relayAddress: listen.relay,
        cutServices: parts.reach.cutServices(),
        internalAddress: listen.internal,
        isReady: parts.isReady(),
        ...(parts.isUnconfirmed() ? { isUnconfirmed: true } : {}),
        topics: parts.fleet.topicVersions(),
        storeAgeMs: parts.storeAgeMs(),
        inFlight: parts.tracker.inFlight(),
        ...(loads === undefined ? {} : { loads }),
        demand: parts.retryBudget.demand(),
        placed: parts.regionShiftLimiter.placed(),
        peers,
    };
};
