/** Handle on the follower of one topic. */
export interface TopicFollower {
    /** When the store last responded, on the monotonic clock in milliseconds; undefined when it never did. */
    readonly confirmedAtMs: () => number | undefined;
    /** Stops following the topic. */
    readonly stop: () => void;
}
