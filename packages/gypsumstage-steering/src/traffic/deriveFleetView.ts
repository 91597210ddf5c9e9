import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { FleetView } from "./FleetView.js";
import { listRecordsInForce } from "./listRecordsInForce.js";
import type { TopicState } from "./TopicState.js";

const findLatestPolicy = (
    current: TrafficPolicy | undefined,
    topic: TopicState,
): TrafficPolicy | undefined => {
    let latest = current;
    for (const { value } of listRecordsInForce(topic).values()) {
        if (value.kind === "policy" && (latest === undefined || value.policy.version > latest.version)) {
            latest = value.policy;
        }
    }
    return latest;
};

const listEndpoints = (topic: TopicState): ReadonlyMap<string, UpstreamEndpoint> => {
    const endpoints = new Map<string, UpstreamEndpoint>();
    for (const { value } of listRecordsInForce(topic).values()) {
        if (value.kind === "endpoint") {
            endpoints.set(value.endpoint.id, value.endpoint);
        }
    }
    return endpoints;
};

const groupByService = (
    endpoints: Iterable<UpstreamEndpoint>,
): ReadonlyMap<string, readonly UpstreamEndpoint[]> => {
    const groups = new Map<string, UpstreamEndpoint[]>();
    for (const endpoint of endpoints) {
        const group = groups.get(endpoint.service) ?? [];
        group.push(endpoint);
        groups.set(endpoint.service, group);
    }
    return groups;
};

const listEvacuatedDataCentres = (topic: TopicState): ReadonlySet<string> => {
    const evacuated = new Set<string>();
    for (const { value } of listRecordsInForce(topic).values()) {
        if (value.kind === "evacuation") {
            evacuated.add(value.dataCentre);
        }
    }
    return evacuated;
};

/**
 * Derives the fleet view from the topics. A configuration is replaced only by a later version, and a malformed
 * object is ignored without affecting others.
 *
 * @param previous - the view so far
 * @param topics - this instance's copy of each topic
 * @returns the next view
 */
export const deriveFleetView = (
    previous: FleetView,
    topics: Readonly<Record<Topic, TopicState>>,
): FleetView => {
    const endpoints = listEndpoints(topics.endpoints);
    return {
        policy: findLatestPolicy(previous.policy, topics.policy),
        isComplete: topics.endpoints.revision !== undefined && topics.evacuations.revision !== undefined,
        endpoints,
        endpointsByService: groupByService(endpoints.values()),
        evacuatedDataCentres: listEvacuatedDataCentres(topics.evacuations),
    };
};
