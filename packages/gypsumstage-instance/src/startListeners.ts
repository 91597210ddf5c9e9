import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import { createApp } from "@gypsumstage/shared/createApp";
import { invariant } from "@gypsumstage/shared/invariant";
import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { registerMetrics } from "@gypsumstage/shared/registerMetrics";
import { registerRpc } from "@gypsumstage/shared/registerRpc";
import { chooseInstances } from "@gypsumstage/steering/traffic/chooseInstances";
import { listHomeRegions } from "@gypsumstage/steering/traffic/listHomeRegions";
import type { PeerView } from "@gypsumstage/steering/traffic/PeerView";
import type { Server } from "node:http";
import type { Registry } from "prom-client";
import type { FleetKnowledge } from "./FleetKnowledge.js";
import type { InstanceConfig } from "./InstanceConfig.js";
import type { InstancePorts } from "./InstancePorts.js";
import { registerLookupRoute } from "./lookup/registerLookupRoute.js";
import { registerReadinessRoute } from "./lookup/registerReadinessRoute.js";
import type { TopicSnapshot } from "./peers/TopicSnapshot.js";

/** What the servers of an instance answer from. */
interface ListenerSources {
    readonly cfg: () => InstanceConfig;
    readonly ports: InstancePorts;
    readonly knowledge: FleetKnowledge;
    readonly registry: Registry;
    readonly isReady: () => boolean;
    readonly readyInstances: () => readonly PeerView[];
}

/**
 * Starts all servers of an instance.
 *
 * @param front - the server for callers' requests, not yet listening
 * @param sources - what the others answer from
 * @returns the function that closes them
 */
export const startListeners = async (
    front: Server,
    sources: ListenerSources,
): Promise<() => Promise<void>> => {
    const { listen } = sources.cfg();
    const internal = createApp(listen.internal);
    registerRpc(internal.app, {
        "topic.read": (params): TopicSnapshot => {
            const { topic } = params as { readonly topic: Topic; };
            const state = sources.knowledge.topics[topic].get();
            return { revision: state.changedRevision ?? 0, records: [...state.records.values()] };
        },
    });
    const metrics = createApp(listen.metrics);
    registerMetrics(metrics.app, sources.registry);
    const readiness = createApp(listen.readiness);
    registerReadinessRoute(readiness.app, sources.ports.readiness, sources.isReady);
    const lookup = createApp(listen.lookup);
    registerLookupRoute(
        lookup.app,
        sources.ports.lookup,
        question => {
            const routes = sources.knowledge.view().policy?.routes ?? [];
            return chooseInstances(
                question,
                sources.readyInstances(),
                listHomeRegions(routes, question.host),
            );
        },
        () => sources.cfg().lookupTtlMs,
    );
    const requests = parseAddress(listen.requests);
    invariant(requests, "address-malformed");
    const servers = [internal, metrics, readiness, lookup];
    await Promise.all([
        ...servers.map(server => server.listen()),
        new Promise<void>(resolve => front.listen(requests.port, requests.host, resolve)),
    ]);
    return async () => {
        front.closeAllConnections();
        await Promise.all(servers.map(server => server.app.close()));
    };
};
