/** Load of an endpoint as it stated it itself. */
export interface EndpointLoad {
    /** Requests that it runs. */
    readonly running: number;
    /** Requests that wait there for a slot. */
    readonly waiting: number;
    /** Number of requests that it can run concurrently. */
    readonly slots: number;
    /** Its present processing time relative to the usual one; 1 is usual. */
    readonly slowness: number;
}
