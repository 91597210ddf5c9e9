/**
 * When readers of the store confirm their copies, and when others no longer rely on them. All durations are in milliseconds and
 * independent of the size of the fleet.
 */
export interface StoreReaderLimits {
    /** Longest time between two responses of the store to a reader. */
    readonly confirmIntervalMs: number;
    /** Age of an instance's copies at which the first others of a region read the store themselves. */
    readonly minStepInAgeMs: number;
    /** Age at which all do. */
    readonly maxStepInAgeMs: number;
}
