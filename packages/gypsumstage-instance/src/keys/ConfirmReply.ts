import type { TopicUpdate } from "@gypsumstage/steering/traffic/TopicUpdate";

/** Result of the RPC method `policy.confirm`. */
export interface ConfirmReply {
    /** Version of the configuration in force; absent when there is none. */
    readonly policyVersion?: number | undefined;
    /** What changed in the topic since the revision in the query. */
    readonly update: TopicUpdate;
    /**
     * Age of the confirmation of this copy when the query arrived, in milliseconds; 0 when it began later. Absent when there is
     * none.
     */
    readonly ageMs?: number | undefined;
}
