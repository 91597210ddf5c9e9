/** Periodic synchronization of a role's view with the steer process. */
export interface ViewSync {
    /** Returns the monotonic time at which the last successful request was sent; undefined before the first one. */
    readonly syncedAtMs: () => number | undefined;
    /** Synchronizes immediately, without waiting for the next period. */
    readonly syncNow: () => Promise<void>;
    /** Stops the synchronization. */
    readonly stop: () => void;
}
