import { createHttpServer } from "@gypsumstage/shared/createHttpServer";
import { invariant } from "@gypsumstage/shared/invariant";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { registerMetrics } from "@gypsumstage/shared/registerMetrics";
import { registerRpc } from "@gypsumstage/shared/registerRpc";
import { chooseInstances } from "@gypsumstage/steering/traffic/chooseInstances";
import { createTopicUpdate } from "@gypsumstage/steering/traffic/createTopicUpdate";
import { listConfirmingInstances } from "@gypsumstage/steering/traffic/listConfirmingInstances";
import { listHostServices } from "@gypsumstage/steering/traffic/listHostServices";
import { listPermittedRegions } from "@gypsumstage/steering/traffic/listPermittedRegions";
import { listReachingInstances } from "@gypsumstage/steering/traffic/listReachingInstances";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import type { PeerView } from "@gypsumstage/steering/traffic/PeerView";
import type { PermitDecision } from "@gypsumstage/steering/traffic/PermitDecision";
import type { TopicUpdate } from "@gypsumstage/steering/traffic/TopicUpdate";
import type { Server } from "node:http";
import type { Registry } from "prom-client";
import type { FleetState } from "./FleetState.js";
import type { InstanceConfig } from "./InstanceConfig.js";
import type { ConfirmQuery } from "./keys/ConfirmQuery.js";
import type { KeyConfirmation } from "./keys/KeyConfirmation.js";
import { registerLookupRoute } from "./lookup/registerLookupRoute.js";
import { registerReadinessRoute } from "./lookup/registerReadinessRoute.js";
import type { NoticeExchange } from "./notices/NoticeExchange.js";
import type { MemberQuery } from "./peers/MemberQuery.js";
import type { PeerExchange } from "./peers/PeerExchange.js";
import type { TopicQuery } from "./peers/TopicQuery.js";
import type { PermitIssuer } from "./permits/PermitIssuer.js";
import type { PermitQuery } from "./permits/PermitQuery.js";
import type { PlatformAdapter } from "./PlatformAdapter.js";
import type { QuotaDivideQuery } from "./quota/QuotaDivideQuery.js";
import type { QuotaGrant } from "./quota/QuotaGrant.js";
import type { QuotaHandlers } from "./quota/QuotaHandlers.js";
import type { QuotaQuery } from "./quota/QuotaQuery.js";
import type { QuotaShares } from "./quota/QuotaShares.js";
import type { QuotaVoteQuery } from "./quota/QuotaVoteQuery.js";
import type { RequestServers } from "./RequestServers.js";

/** State and settings that the servers of an instance use. */
interface ListenerDependencies {
    readonly cfg: () => InstanceConfig;
    readonly platform: PlatformAdapter;
    readonly fleet: FleetState;
    readonly registry: Registry;
    readonly isReady: () => boolean;
    readonly readyInstances: () => readonly PeerView[];
    readonly permitIssuer: PermitIssuer;
    readonly confirmPolicy: KeyConfirmation["answer"];
    readonly quotaHandlers: QuotaHandlers;
    readonly readNotices: NoticeExchange["readAll"];
    readonly readMembers: PeerExchange["readMembers"];
}

const listenOn = (server: Server, address: string): Promise<void> => {
    const parsed = parseAddress(address);
    invariant(parsed, "address-malformed");
    return new Promise(resolve => server.listen(parsed.port, parsed.host, resolve));
};

/**
 * Starts all servers of an instance: for callers' requests, lookups, readiness checks, metrics and RPC calls.
 *
 * @param requests - the servers for requests, not yet listening
 * @param deps - state and settings for the other servers
 * @returns the function that closes them; open connections of callers are cut, by a reset where a response is being delivered
 */
export const startListeners = async (
    requests: Pick<RequestServers, "callers" | "relay" | "resetUndelivered">,
    deps: ListenerDependencies,
): Promise<() => Promise<void>> => {
    const { listen } = deps.cfg();
    const internal = createHttpServer(listen.internal);
    registerRpc(internal.app, {
        "topic.read": (params): TopicUpdate => {
            const { topic, era = 0, since: revision, areNamesNeeded = false } = params as TopicQuery;
            const since = revision === undefined ? undefined : { era, revision };
            return createTopicUpdate(deps.fleet.topics[topic].get(), since, areNamesNeeded, monotonicNow());
        },
        "policy.confirm": params => deps.confirmPolicy(params as ConfirmQuery),
        "notices.read": () => deps.readNotices(),
        "members.read": (params): readonly MemberRecord[] => deps.readMembers(params as MemberQuery),
        "permit.issue": (params): PermitDecision => deps.permitIssuer.issue(params as PermitQuery),
        "quota.issue": (params): QuotaGrant => deps.quotaHandlers["quota.issue"](params as QuotaQuery),
        "quota.vote": params => deps.quotaHandlers["quota.vote"](params as QuotaVoteQuery),
        "quota.divide": (params): QuotaShares =>
            deps.quotaHandlers["quota.divide"](params as QuotaDivideQuery),
    });
    const metrics = createHttpServer(listen.metrics);
    registerMetrics(metrics.app, deps.registry);
    const readiness = createHttpServer(listen.readiness);
    registerReadinessRoute(readiness.app, deps.platform.readiness, deps.isReady);
    const lookup = createHttpServer(listen.lookup);
    registerLookupRoute(
        lookup.app,
        deps.platform.lookup,
        query => {
            const { routes = [], workspaces } = deps.fleet.view().policy ?? {};
            return chooseInstances(
                query,
                listReachingInstances(
                    listConfirmingInstances(deps.readyInstances()),
                    listHostServices(routes, query.host),
                ),
                listPermittedRegions(routes, query.host, workspaces),
            );
        },
        () => deps.cfg().lookupTtlMs,
    );
    const servers = [internal, metrics, readiness, lookup];
    await Promise.all([
        ...servers.map(server => server.listen()),
        listenOn(requests.callers, listen.requests),
        listenOn(requests.relay, listen.relay),
    ]);
    return async () => {
        requests.resetUndelivered();
        requests.callers.closeAllConnections();
        requests.relay.close();
        requests.relay.closeAllConnections();
        await Promise.all(servers.map(server => server.app.close()));
    };
};
