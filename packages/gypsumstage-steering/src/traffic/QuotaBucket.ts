/** The permits of one usage cap that an instance may grant, from the share of the cap that it has for a time. */
export interface QuotaBucket {
    readonly tokens: number;
    /** When it was last refilled, on the monotonic clock: a step of the time of day must add no permits. */
    readonly refilledAtMs: number;
    /** Share of the cap, 0 to 1. */
    readonly share: number;
    /** When the share ends, on the lease clock. */
    readonly shareUntilMs: number;
}
