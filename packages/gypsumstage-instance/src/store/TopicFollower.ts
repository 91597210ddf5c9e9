/** Handle on the follower of one topic. */
export interface TopicFollower {
    /** When a call to the store last succeeded, on the monotonic clock in milliseconds; undefined when none has. */
    readonly confirmedAtMs: () => number | undefined;
    /** Stops following the topic. */
    readonly stop: () => void;
}
