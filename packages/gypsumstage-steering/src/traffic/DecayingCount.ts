/** A count of recent events that decays exponentially. */
export interface DecayingCount {
    readonly amount: number;
    /** When the amount was computed, on the monotonic clock. */
    readonly atMs: number;
}
