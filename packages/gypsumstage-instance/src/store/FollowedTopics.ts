/** Handle on the topics that an instance keeps up to date. */
export interface FollowedTopics {
    /**
     * Time since the store last answered, for the topic for which that is longest, in milliseconds; undefined
     * while it has not answered for every topic.
     */
    readonly storeAgeMs: () => number | undefined;
    readonly stop: () => void;
}
