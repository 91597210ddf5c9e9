import type { Log } from "@gypsumstage/shared/Log";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import { isProber } from "@gypsumstage/steering/traffic/isProber";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { QuotaBounds } from "@gypsumstage/steering/traffic/QuotaBounds";
import type { Coordination } from "./Coordination.js";
import type { InstanceMetrics } from "./InstanceMetrics.js";
import { startNoticeExchange } from "./notices/startNoticeExchange.js";
import type { PeerExchange } from "./peers/PeerExchange.js";
import { startPermits } from "./permits/startPermits.js";
import { startUsageCaps } from "./quota/startUsageCaps.js";
import { createSuspectRequests } from "./suspects/createSuspectRequests.js";
import { createEndpointRateLimits } from "./upstream/createEndpointRateLimits.js";
import { createLeavingEndpoints } from "./upstream/createLeavingEndpoints.js";
import type { EndpointTracker } from "./upstream/EndpointTracker.js";

type SelfReport = Pick<PeerReport, "name" | "dataCentre" | "region" | "internalAddress" | "isReady"> & {
    /** Bounds of the usage caps; absent where none are enforced. */
    readonly quota?: QuotaBounds;
};

/**
 * Starts what instances decide together about requests: the rate limits of endpoints with their permits, the endpoints that
 * are leaving and the requests that end endpoints, which are exchanged as notices, and the usage caps of workspaces.
 *
 * @param self - returns this instance as the others see it
 * @param peers - the reports of the other instances
 * @param view - returns the current fleet view
 * @param tracker - receives the events of endpoints that are leaving
 * @param rpc - client for RPC calls to other instances
 * @param metrics - counts granted and denied permits of endpoints and workspaces
 * @param log - receives the events of all parts
 * @returns the parts, and the function that stops them
 */
export const startCoordination = (
    self: () => SelfReport,
    peers: PeerExchange,
    view: () => FleetView,
    tracker: Pick<EndpointTracker, "recordHealthEvent">,
    rpc: RpcClient,
    metrics: Pick<InstanceMetrics, "countPermit" | "countUsage">,
    log: Log,
): Coordination => {
    const ownName = self().name;
    const listReadyNames = (): readonly string[] =>
        [self(), ...peers.live().map(peer => peer.report)]
            .filter(report => report.isReady)
            .map(report => report.name);
    const rateLimits = createEndpointRateLimits(id => view().endpoints.get(id), log);
    const departures = createLeavingEndpoints(id => view().endpoints.get(id), tracker, log);
    const suspects = createSuspectRequests(
        digest => peers.isSettled() && isProber(digest, ownName, listReadyNames()),
        log,
    );
    const notices = startNoticeExchange(
        ownName,
        [peers.membersTopic, rateLimits.topic, departures.topic, suspects.topic],
        peers,
        () => view().isComplete,
        rpc,
        log,
    );
    const { permits, issuer, stop: stopPermits } = startPermits(self, peers, view, rateLimits, metrics, log);
    const usage = startUsageCaps(self, peers, view, metrics, log);
    return {
        rateLimits,
        departures,
        suspects,
        permits,
        permitIssuer: issuer,
        usageCaps: usage.caps,
        quotaHandlers: usage.handlers,
        readNotices: notices.readAll,
        stop: async () => {
            notices.stop();
            await Promise.all([stopPermits(), usage.stop()]);
        },
    };
};
