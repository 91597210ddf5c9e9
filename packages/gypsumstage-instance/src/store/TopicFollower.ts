/** Handle on the follower of one topic. */
export interface TopicFollower {
    /**
     * The latest moment of which the store's content is known from its own responses, on the monotonic clock in milliseconds;
     * undefined when no call has succeeded.
     */
    readonly confirmedAtMs: () => number | undefined;
    /** Makes the follower look now whether it is to read the store. */
    readonly wake: () => void;
    /** Stops following the topic. */
    readonly stop: () => void;
}
