/** Handle on the topics that an instance keeps up to date. */
export interface FollowedTopics {
    /**
     * Time since the store last responded for the topic that it confirmed longest ago, in milliseconds; undefined
     * until it has confirmed every topic.
     */
    readonly storeAgeMs: () => number | undefined;
    readonly stop: () => void;
}
