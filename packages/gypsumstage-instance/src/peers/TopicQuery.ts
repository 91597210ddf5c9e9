import type { Topic } from "@gypsumstage/domain/traffic/Topic";

/** Parameters of the RPC method `topic.read`. */
export interface TopicQuery {
    readonly topic: Topic;
    /** Era of the store to which the requesting instance's copy belongs; 0 when absent. */
    readonly era?: number;
    /** Revision up to which the requesting instance's copy is complete; absent when it has none. */
    readonly since?: number | undefined;
    /** True when the removals since then are not enough, because the copies differ at the same revision. */
    readonly areNamesNeeded?: boolean;
}
