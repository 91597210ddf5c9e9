import { createRpcClient } from "@gypsumstage/shared/createRpcClient";
import { createUniqueId } from "@gypsumstage/shared/createUniqueId";
import type { Log } from "@gypsumstage/shared/Log";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { PeerView } from "@gypsumstage/steering/traffic/PeerView";
import { applyViewChange } from "./applyViewChange.js";
import { createInstanceMetrics } from "./createInstanceMetrics.js";
import { createOwnReport } from "./createOwnReport.js";
import { createRequestServers } from "./createRequestServers.js";
import { createStopSchedule } from "./createStopSchedule.js";
import { countDiscoveryCalls } from "./discovery/countDiscoveryCalls.js";
import type { Instance } from "./Instance.js";
import type { InstanceConfig } from "./InstanceConfig.js";
import type { InstancePhase } from "./InstancePhase.js";
import { readTime } from "./keys/readTime.js";
import { registerPolicyRejectionLog } from "./keys/registerPolicyRejectionLog.js";
import { startKeyConfirmation } from "./keys/startKeyConfirmation.js";
import type { OwnReport } from "./peers/OwnReport.js";
import { startPeerExchange } from "./peers/startPeerExchange.js";
import type { PlatformAdapter } from "./PlatformAdapter.js";
import { readInstanceGauges } from "./readInstanceGauges.js";
import { createRegionShiftLimiter } from "./request/createRegionShiftLimiter.js";
import { createRequestContext } from "./request/createRequestContext.js";
import { createRetryBudget } from "./request/createRetryBudget.js";
import { shutDownGracefully } from "./shutDownGracefully.js";
import { startCoordination } from "./startCoordination.js";
import { startFleetState } from "./startFleetState.js";
import { startListeners } from "./startListeners.js";
import { countStoreCalls } from "./store/countStoreCalls.js";
import { followTopics } from "./store/followTopics.js";
import { createUpstreamConnector } from "./upstream/createUpstreamConnector.js";
import { registerHealthChecks } from "./upstream/registerHealthChecks.js";
import { startUpstreams } from "./upstream/startUpstreams.js";

/** Time-out of a fetch from another instance: a few round trips between regions; then another instance is asked. */
const RPC_TIMEOUT_MS = 500;
/** Longer than a round trip to another region with the opening of a connection, which takes one more. */
const RPC_RESEND_AFTER_MS = 200;

/**
 * Starts an instance: it forwards requests, serves lookups, follows the store and exchanges reports with peers. It confirms
 * its copy of the configuration, on which the trust in keys depends, and takes part in keeping usage caps.
 *
 * @param initialCfg - the settings until the first `reconfigure`
 * @param platform - the platform-specific parts; the store is closed with the instance
 * @param log - receives the instance's events
 * @param connector - opens the connections to endpoints
 * @returns the instance, listening on all its addresses
 */
export const startInstance = async (
    initialCfg: InstanceConfig,
    platform: PlatformAdapter,
    log: Log,
    connector = createUpstreamConnector(),
): Promise<Instance> => {
    let cfg = initialCfg;
    const incarnation = createUniqueId();
    const rpc = createRpcClient(RPC_TIMEOUT_MS, {
        resendAfterMs: RPC_RESEND_AFTER_MS,
        onResend: (address, reason) => log("info", "rpc-resent", { address, reason }),
    });
    let storeAgeMs = (): number | undefined => undefined;
    let copyAgeMs = (): number | undefined => undefined;
    let isUnconfirmed = (): boolean => false;
    let phase: InstancePhase = "serving";
    const onViewChange = (view: FleetView, before: FleetView): void => {
        applyViewChange(before, view, upstreams.tracker, coordination);
        if (view.policy !== undefined) {
            servers.applyLimits(view.policy.limits);
        }
    };
    const fleet = startFleetState(onViewChange, log);
    const upstreams = startUpstreams(
        fleet.view,
        endpoint => coordination.suspects.forgetBroken(endpoint),
        connector,
        log,
    );
    const { tracker, reach } = upstreams;
    const isReady = (): boolean => {
        const view = fleet.view();
        return phase === "serving" && view.policy !== undefined && view.isComplete;
    };
    const retryBudget = createRetryBudget(() => cfg.retry, () => peers.fleetSize());
    const regionShiftLimiter = createRegionShiftLimiter(
        () => cfg.maxRegionShift,
        () => peers.reporting().map(peer => peer.report).filter(report => report.region === cfg.region),
    );
    const createReport = (peerAddresses: readonly string[]): OwnReport =>
        createOwnReport({
            cfg: () => cfg,
            incarnation,
            isReady,
            isUnconfirmed: () => isUnconfirmed(),
            storeAgeMs: () => storeAgeMs(),
            fleet,
            reach,
            tracker,
            retryBudget,
            regionShiftLimiter,
        }, peerAddresses);
    const metrics = createInstanceMetrics(() =>
        readInstanceGauges({
            fleet,
            storeAgeMs: storeAgeMs(),
            copyAgeMs: copyAgeMs(),
            upstreams,
            peers,
            servers,
            keyConfirmation,
            retryBudget,
            admission: ctx.admission,
            coordination,
        })
    );
    const peers = await startPeerExchange(
        () => cfg.seeds,
        createReport,
        countDiscoveryCalls(platform.discovery, metrics.countStoreCall),
        rpc,
        metrics,
        log,
    );
    const readyInstances = (): readonly PeerView[] => [
        ...(isReady()
            ? [{
                ...cfg,
                address: cfg.listen.requests,
                cutServices: reach.cutServices(),
                isUnconfirmed: isUnconfirmed(),
            }]
            : []),
        ...peers.live().map(peer => peer.report).filter(report => report.isReady),
    ];
    const coordination = startCoordination(
        () => ({ ...cfg, internalAddress: cfg.listen.internal, isReady: isReady() }),
        peers,
        fleet.view,
        tracker,
        rpc,
        metrics,
        log,
    );
    const store = countStoreCalls(platform.store, metrics.countStoreCall);
    const keyConfirmation = startKeyConfirmation({
        cfg: () => cfg,
        copy: fleet,
        store,
        peers,
        rpc,
        isReader: () => storeAgeMs() !== undefined,
        now: readTime,
        metrics,
        log,
    });
    isUnconfirmed = keyConfirmation.isUnconfirmed;
    const stopRejectionLog = registerPolicyRejectionLog(fleet.topics.policy, fleet.view, log);
    const stopSchedule = createStopSchedule();
    const ctx = createRequestContext({
        cfg,
        view: fleet.view,
        upstreams,
        peers,
        keys: keyConfirmation.trust,
        coordination,
        retryBudget,
        regionShiftLimiter,
        stopSchedule,
        headerCodec: platform.headerCodec,
        metrics,
        log,
    });
    const servers = createRequestServers(ctx, () => phase);
    const closeListeners = await startListeners(servers, {
        cfg: () => cfg,
        platform,
        fleet,
        registry: metrics.registry,
        isReady,
        readyInstances,
        permitIssuer: coordination.permitIssuer,
        confirmPolicy: keyConfirmation.answer,
        quotaHandlers: coordination.quotaHandlers,
        readNotices: coordination.readNotices,
        readMembers: peers.readMembers,
    });
    const stopHealthChecks = registerHealthChecks(
        fleet.view,
        tracker,
        coordination.suspects,
        coordination.departures,
        reach,
        upstreams.pool,
        platform.headerCodec,
        log,
    );
    const followedTopics = followTopics(
        cfg,
        { incarnation, isReady, changeBoundMs: () => cfg.changeBoundMs },
        fleet,
        store,
        peers,
        rpc,
        metrics,
        log,
    );
    storeAgeMs = followedTopics.storeAgeMs;
    copyAgeMs = followedTopics.copyAgeMs;
    const shutDown = async (): Promise<void> => {
        const setPhase = (next: InstancePhase): void => {
            phase = next;
        };
        const { answeredEarly, cut } = await shutDownGracefully(
            servers.callers,
            cfg.gracePeriodMs,
            setPhase,
            stopSchedule,
            servers.inFlight,
        );
        log("info", "left", { requestsAnsweredEarly: answeredEarly, requestsCut: cut });
        stopHealthChecks();
        followedTopics.stop();
        keyConfirmation.stop();
        stopRejectionLog();
        peers.stop();
        fleet.stop();
        await Promise.all([
            platform.store.close(),
            platform.discovery.close(),
            rpc.close(),
            coordination.stop(),
            upstreams.stop(),
            closeListeners(),
        ]);
    };
    let stopped: Promise<void> | undefined;
    return {
        stop: () => stopped ??= shutDown(),
        reconfigure: next => {
            cfg = next;
        },
    };
};
