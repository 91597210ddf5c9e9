import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { computeSideLoads } from "@gypsumstage/steering/traffic/computeSideLoads";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { SideLoads } from "@gypsumstage/steering/traffic/SideLoads";
import { createAdmission } from "../admission/createAdmission.js";
import type { Coordination } from "../Coordination.js";
import type { HeaderCodec } from "../HeaderCodec.js";
import type { InstanceConfig } from "../InstanceConfig.js";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { KeyTrust } from "../keys/KeyTrust.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import { createRelays } from "../relay/createRelays.js";
import type { StopSchedule } from "../StopSchedule.js";
import { createColdRateLimiter } from "../upstream/createColdRateLimiter.js";
import type { Upstreams } from "../upstream/Upstreams.js";
import { createBodyMemory } from "./createBodyMemory.js";
import { createLoadSourceChoice } from "./createLoadSourceChoice.js";
import { createLocalPrimaryShares } from "./createLocalPrimaryShares.js";
import { createServiceChooser } from "./createServiceChooser.js";
import type { RegionShiftLimiter } from "./RegionShiftLimiter.js";
import type { RequestContext } from "./RequestContext.js";
import type { RetryBudget } from "./RetryBudget.js";

/** Target latency that is assumed when the configuration that named the service is gone. */
const DEFAULT_TARGET_MS = 1_000;

/** The running parts of an instance that its requests use. */
interface RequestParts {
    readonly cfg: Pick<InstanceConfig, "name" | "dataCentre" | "region" | "memoryBytes">;
    readonly view: () => FleetView;
    readonly upstreams: Upstreams;
    readonly peers: PeerExchange;
    readonly keys: KeyTrust;
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
    const getTargetMs = (service: string): number =>
        view().policy?.routes.find(route => route.targets.some(target => target.service === service))
            ?.targetLatencyMs ?? DEFAULT_TARGET_MS;
    const listLocalReports = (): readonly PeerReport[] =>
        peers.reporting().map(peer => peer.report).filter(report => report.dataCentre === cfg.dataCentre);
    const { loads } = upstreams.tracker;
    const choosesByStatedLoad = createLoadSourceChoice(peers, loads);
    const getSideLoads = (service: string): SideLoads | undefined =>
        choosesByStatedLoad()
            ? computeSideLoads(
                view().endpointsByService.get(service) ?? [],
                cfg.region,
                loads.figure,
                monotonicNow(),
            )
            : undefined;
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
        keys: parts.keys,
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
        admission: createAdmission({
            view,
            workMs: service => upstreams.tracker.typicalMs(service, getTargetMs(service)),
            stopSchedule: parts.stopSchedule,
            metrics,
            log,
        }),
        retryBudget,
        choosesByStatedLoad,
        localPrimaryShare: createLocalPrimaryShares(cfg.region, view, () => [
            { region: cfg.region, demand: retryBudget.demand() },
            ...listLocalReports(),
            ...peers.summaries(),
        ], getSideLoads),
        responseMemory: upstreams.responseMemory,
        bodyMemory: createBodyMemory(cfg.memoryBytes),
        regionShiftLimiter: parts.regionShiftLimiter,
        stopSchedule: parts.stopSchedule,
        chooseService: createServiceChooser(),
        metrics,
        log,
    };
};
