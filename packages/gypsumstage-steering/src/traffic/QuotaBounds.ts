/** Bounds within which usage caps hold over all instances together. */
export interface QuotaBounds {
    /** Window over which sent requests are counted, in milliseconds. */
    readonly windowMs: number;
    /** Share of what a cap allows in a window by which it may be exceeded. */
    readonly tolerance: number;
    /** Requests by which it may be exceeded in a window in addition. */
    readonly burst: number;
}
