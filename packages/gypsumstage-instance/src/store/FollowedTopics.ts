/** The topics of the store that an instance keeps up to date. */
export interface FollowedTopics {
    /** Age of the topic that the store confirmed longest ago, in milliseconds; undefined when one never was. */
    readonly storeAgeMs: () => number | undefined;
    readonly stop: () => void;
}
