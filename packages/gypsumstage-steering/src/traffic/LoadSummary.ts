/** Load of a service's endpoints as they stated it last. */
export interface LoadSummary {
    /** Endpoints whose load is known. */
    readonly endpoints: number;
    /** Requests running and waiting per slot: mean over the endpoints, and that of the fullest one. */
    readonly meanPerSlot: number;
    readonly maxPerSlot: number;
    /** Share of the endpoints with more requests than slots. */
    readonly overloadedShare: number;
    /** Mean age of the figures, in milliseconds. */
    readonly meanAgeMs: number;
}
