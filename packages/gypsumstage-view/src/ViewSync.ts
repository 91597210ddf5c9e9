/** A running synchronization. */
export interface ViewSync {
    /** When the steer process last answered, on the clock of this process; undefined when never. */
    readonly syncedAtMs: () => number | undefined;
    /** Reports and asks at once. */
    readonly syncNow: () => Promise<void>;
    /** The teardown. */
    readonly stop: () => void;
}
