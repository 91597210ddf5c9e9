/** Handle on the topics that an instance keeps up to date. */
export interface FollowedTopics {
    /**
     * Time since the last successful call to the store, in milliseconds, for the topic for which that is longest ago;
     * undefined until a call has succeeded for every topic, and while this instance does not follow the store.
     */
    readonly storeAgeMs: () => number | undefined;
    readonly stop: () => void;
}
