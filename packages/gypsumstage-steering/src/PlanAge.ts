/** A budget plan as an instance last read it, and since when it has been unchanged. */
export interface PlanAge {
    /** Version of the platform's object; undefined when there was none. */
    readonly version: number | undefined;
    /** Unique to each write of a plan. */
    readonly nonce: string | undefined;
    /** Monotonic, in milliseconds. */
    readonly unchangedSinceMs: number;
}
