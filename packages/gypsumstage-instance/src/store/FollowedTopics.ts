/** Handle on the topics that an instance keeps up to date. */
export interface FollowedTopics {
    /**
     * Time since the last successful call to the store, in milliseconds, for the topic for which that is longest ago;
     * undefined until a call has succeeded for every topic, and while this instance does not follow the store.
     */
    readonly storeAgeMs: () => number | undefined;
    /**
     * Age of this instance's copies, in milliseconds: the time since they were last known to be those of the store, by its own reads or
     * those of other instances; undefined before that.
     */
    readonly copyAgeMs: () => number | undefined;
    readonly stop: () => void;
}
