import { listRecordsInForce } from "./listRecordsInForce.js";
import type { TopicState } from "./TopicState.js";

/** A configuration that is not in force, and why. */
interface RejectedPolicy {
    readonly name: string;
    readonly revision: number;
    readonly reason: string;
}

/**
 * Lists the configurations of the store that are malformed or hold something unknown; the last good one stays in force.
 *
 * @param topic - this instance's copy of the configurations
 * @returns the rejected ones
 */
export const listRejectedPolicies = (topic: TopicState): readonly RejectedPolicy[] =>
    [...listRecordsInForce(topic).values()].flatMap(({ name, revision, value }) =>
        value.kind === "malformed" ? [{ name, revision, reason: value.reason }] : []
    );
