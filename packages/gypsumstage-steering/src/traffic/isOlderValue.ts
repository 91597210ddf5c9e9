import type { TopicValue } from "@gypsumstage/domain/traffic/TopicValue";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";

const isOlderEndpoint = (endpoint: UpstreamEndpoint, known: UpstreamEndpoint): boolean =>
    endpoint.startedAt < known.startedAt
    || (endpoint.startedAt === known.startedAt && known.isDraining && !endpoint.isDraining);

/**
 * Returns whether a value of an object was replaced by a known one. It compares what the writers state, which holds across
 * all eras of the store, unlike revisions: a configuration's version, and for endpoints the start of the run, which never
 * goes back from leaving to ready.
 *
 * @param value - the value
 * @param known - another value of the same object
 * @returns true when `value` is the earlier of the two; false also when neither tells
 */
export const isOlderValue = (value: TopicValue, known: TopicValue): boolean => {
    if (value.kind === "policy" && known.kind === "policy") {
        return value.policy.version < known.policy.version;
    }
    return value.kind === "endpoint" && known.kind === "endpoint"
        && isOlderEndpoint(value.endpoint, known.endpoint);
};
