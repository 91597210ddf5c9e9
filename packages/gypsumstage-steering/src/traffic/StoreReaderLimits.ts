/** Up to when an instance that reads the store counts as doing so. Both limits are independent of the size of the fleet. */
export interface StoreReaderLimits {
    /** Longest time since its last message, in milliseconds. */
    readonly maxSilenceMs: number;
    /** Longest time since its last read of the store, in milliseconds. */
    readonly maxStoreAgeMs: number;
}
