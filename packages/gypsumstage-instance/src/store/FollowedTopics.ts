/** Handle on the topics that an instance keeps up to date. */
export interface FollowedTopics {
    /**
     * Time since the store last responded, for the topic for which that is longest, in milliseconds; undefined
     * until it has responded for every topic.
     */
    readonly storeAgeMs: () => number | undefined;
    readonly stop: () => void;
}
