import { createNonce } from "@gypsumstage/shared/createNonce";
import { createRpcClient } from "@gypsumstage/shared/createRpcClient";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { findStoreAge } from "@gypsumstage/steering/traffic/findStoreAge";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { PeerView } from "@gypsumstage/steering/traffic/PeerView";
import { createInstanceMetrics } from "./createInstanceMetrics.js";
import { createRequestServer } from "./createRequestServer.js";
import { findColdSpans } from "./findColdSpans.js";
import type { Instance } from "./Instance.js";
import type { InstanceConfig } from "./InstanceConfig.js";
import type { InstancePhase } from "./InstancePhase.js";
import type { InstancePorts } from "./InstancePorts.js";
import { leaveInOrder } from "./leaveInOrder.js";
import { startPeerExchange } from "./peers/startPeerExchange.js";
import { createHomeShares } from "./request/createHomeShares.js";
import { createRegionPacer } from "./request/createRegionPacer.js";
import { createRepeatBudget } from "./request/createRepeatBudget.js";
import { createRequestHandler } from "./request/createRequestHandler.js";
import { createTargetChooser } from "./request/createTargetChooser.js";
import type { RequestContext } from "./request/RequestContext.js";
import { startFleetKnowledge } from "./startFleetKnowledge.js";
import { startListeners } from "./startListeners.js";
import { countStoreCalls } from "./store/countStoreCalls.js";
import { followTopics } from "./store/followTopics.js";
import { createColdAllowance } from "./upstream/createColdAllowance.js";
import { createEndpointTracker } from "./upstream/createEndpointTracker.js";
import { createUpstreamPool } from "./upstream/createUpstreamPool.js";
import { registerHealthChecks } from "./upstream/registerHealthChecks.js";

const RPC_TIMEOUT_MS = 800;

/**
 * Starts an instance: it carries requests, answers look-ups, follows the store and reports to the others.
 *
 * @param initial - its settings at the start
 * @param ports - the platform on which it runs
 * @param log - its log
 * @returns the running instance
 */
export const startInstance = async (
    initial: InstanceConfig,
    ports: InstancePorts,
    log: Log,
): Promise<Instance> => {
    let cfg = initial;
    const incarnation = createNonce();
    const tracker = createEndpointTracker();
    const pool = createUpstreamPool();
    const rpc = createRpcClient(RPC_TIMEOUT_MS);
    let storeAgeMs = (): number | undefined => undefined;
    let phase: InstancePhase = "serving";
    let inFlight = 0;
    const onView = (view: FleetView, before: FleetView): void => {
        const now = monotonicNow();
        for (const [id, spanMs] of findColdSpans(before, view)) {
            tracker.report(id, { kind: "cold", until: now + spanMs });
        }
        tracker.keepOnly(view.endpoints);
        if (view.policy !== undefined) {
            front.applyLimits(view.policy.limits);
        }
    };
    const knowledge = startFleetKnowledge(onView, log);
    const isReady = (): boolean => {
        const view = knowledge.view();
        return phase === "serving" && view.policy !== undefined && view.isComplete;
    };
    const repeats = createRepeatBudget(() => cfg.retry, () => peers.fleetSize());
    const regions = createRegionPacer(
        () => cfg.maxRegionShift,
        () => peers.live().map(peer => peer.report).filter(report => report.region === cfg.region),
    );
    const createReport = (peers: readonly string[]): PeerReport => ({
        name: cfg.name,
        dataCentre: cfg.dataCentre,
        region: cfg.region,
        address: cfg.listen.requests,
        incarnation,
        internalAddress: cfg.listen.internal,
        isReady: isReady(),
        topics: knowledge.marks(),
        storeAgeMs: storeAgeMs(),
        inFlight: tracker.inFlight(),
        demand: repeats.demand(),
        placed: regions.placed(),
        peers,
    });
    const peers = await startPeerExchange(cfg.listen.internal, cfg.seeds, createReport, log);
    const readyInstances = (): readonly PeerView[] => [
        ...(isReady() ? [{ ...cfg, address: cfg.listen.requests }] : []),
        ...peers.live().map(peer => peer.report).filter(report => report.isReady),
    ];
    const metrics = createInstanceMetrics(() => ({
        policyVersion: knowledge.view().policy?.version,
        endpoints: knowledge.view().endpoints.size,
        livePeers: peers.live().length,
        inFlight,
        storeAgeMs: findStoreAge(storeAgeMs(), peers.live(), monotonicNow()),
        repeatsLeft: repeats.left(),
    }));
    const coldRate = (service: string): number =>
        knowledge.view().policy?.services.find(each => each.name === service)?.coldRequestsPerSecond ?? 1;
    const ctx: RequestContext = {
        region: cfg.region,
        dialect: ports.dialect,
        view: knowledge.view,
        tracker,
        pool,
        peers,
        cold: createColdAllowance(
            cfg.name,
            () => [cfg, ...peers.live().map(peer => peer.report)],
            coldRate,
        ),
        repeats,
        homeShares: createHomeShares(cfg.region, knowledge.view, () => [
            { region: cfg.region, demand: repeats.demand() },
            ...peers.live().map(peer => peer.report),
        ]),
        regions,
        targets: createTargetChooser(),
        metrics,
        log,
    };
    const handle = createRequestHandler(ctx, () => phase);
    const front = createRequestServer(async (req, res) => {
        inFlight += 1;
        try {
            await handle(req, res);
        }
        finally {
            inFlight -= 1;
        }
    });
    const closeListeners = await startListeners(front.server, {
        cfg: () => cfg,
        ports,
        knowledge,
        registry: metrics.registry,
        isReady,
        readyInstances,
    });
    const stopHealthChecks = registerHealthChecks(knowledge.view, tracker, pool, ports.dialect, log);
    const topics = followTopics(
        cfg,
        knowledge,
        countStoreCalls(ports.store, metrics.countStoreCall),
        peers,
        rpc,
        log,
    );
    storeAgeMs = topics.storeAgeMs;
    const leave = async (): Promise<void> => {
        const enter = (next: InstancePhase): void => {
            phase = next;
        };
        const requestsCut = await leaveInOrder(front.server, cfg.graceMs, enter, () => inFlight);
        log("info", "left", { requestsCut });
        stopHealthChecks();
        topics.stop();
        peers.stop();
        knowledge.stop();
        await Promise.all([ports.store.close(), rpc.close(), pool.close(), closeListeners()]);
    };
    let left: Promise<void> | undefined;
    return {
        stop: () => left ??= leave(),
        reconfigure: next => {
            cfg = next;
        },
    };
};
