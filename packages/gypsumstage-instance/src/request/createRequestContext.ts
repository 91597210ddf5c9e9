import type { Log } from "@gypsumstage/shared/Log";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { Coordination } from "../Coordination.js";
import type { HeaderCodec } from "../HeaderCodec.js";
import type { InstanceConfig } from "../InstanceConfig.js";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import { createRelays } from "../relay/createRelays.js";
import type { StopSchedule } from "../StopSchedule.js";
import { createColdRateLimiter } from "../upstream/createColdRateLimiter.js";
import type { Upstreams } from "../upstream/Upstreams.js";
import { createBodyMemory } from "./createBodyMemory.js";
import { createLocalPrimaryShares } from "./createLocalPrimaryShares.js";
import { createServiceChooser } from "./createServiceChooser.js";
import type { RegionShiftLimiter } from "./RegionShiftLimiter.js";
import type { RequestContext } from "./RequestContext.js";
import type { RetryBudget } from "./RetryBudget.js";

/** The running parts of an instance that its requests use. */
interface RequestParts {
    readonly cfg: Pick<InstanceConfig, "name" | "dataCentre" | "region" | "memoryBytes">;
    readonly view: () => FleetView;
    readonly upstreams: Upstreams;
    readonly peers: PeerExchange;
    readonly coordination: Coordination;
    readonly retryBudget: RetryBudget;
    readonly regionShiftLimiter: RegionShiftLimiter;
    readonly stopSchedule: StopSchedule;
    readonly headerCodec: HeaderCodec;
    readonly metrics: InstanceMetrics;
    readonly log: Log;
}

/**
 * Creates what all requests of an instance share.
 *
 * @param parts - the running parts of the instance
 * @returns the context
 */
export const createRequestContext = (parts: RequestParts): RequestContext => {
    const { cfg, view, upstreams, peers, coordination, retryBudget, headerCodec, metrics, log } = parts;
    const getColdRate = (service: string): number =>
        view().policy?.services.find(each => each.name === service)?.coldRequestsPerSecond ?? 1;
    const listLocalReports = (): readonly PeerReport[] =>
        peers.reporting().map(peer => peer.report).filter(report => report.dataCentre === cfg.dataCentre);
    return {
        region: cfg.region,
        headerCodec,
        view,
        tracker: upstreams.tracker,
        pool: upstreams.pool,
        reach: upstreams.reach,
        relays: createRelays({
            region: cfg.region,
            peers,
            pool: upstreams.relayPool,
            headerCodec,
            policyVersion: () => view().policy?.version ?? 0,
            metrics,
            log,
        }),
        peers,
        coldRateLimiter: createColdRateLimiter(
            cfg.name,
            () => [cfg, ...peers.live().map(peer => peer.report)],
            peers.isSettled,
            getColdRate,
        ),
        rateLimits: coordination.rateLimits,
        departures: coordination.departures,
        permits: coordination.permits,
        usageCaps: coordination.usageCaps,
        suspects: coordination.suspects,
        retryBudget,
        localPrimaryShare: createLocalPrimaryShares(cfg.region, view, () => [
            { region: cfg.region, demand: retryBudget.demand() },
            ...listLocalReports(),
            ...peers.summaries(),
        ]),
        bodyMemory: createBodyMemory(cfg.memoryBytes),
        regionShiftLimiter: parts.regionShiftLimiter,
        stopSchedule: parts.stopSchedule,
        chooseService: createServiceChooser(),
        metrics,
        log,
    };
};
