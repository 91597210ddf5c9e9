/** Periodic synchronization of a role's view with the steer process. */
export interface ViewSync {
    /**
     * Returns when the last request that succeeded was sent to the steer process, on the monotonic clock of this
     * process; undefined when none has.
     */
    readonly syncedAtMs: () => number | undefined;
    /** Synchronizes at once, without waiting for the next period. */
    readonly syncNow: () => Promise<void>;
    /** Stops the synchronization. */
    readonly stop: () => void;
}
