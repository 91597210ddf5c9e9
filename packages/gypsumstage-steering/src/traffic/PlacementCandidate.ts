/** A candidate endpoint for a request. */
export interface PlacementCandidate {
    readonly id: string;
    readonly region: string;
    readonly slots: number;
    /** Requests in flight on the endpoint from all instances. */
    readonly inFlight: number;
    /**
     * True when this instance recently sent the endpoint a request for the object. When that holds for no candidate,
     * the first one counts as warm.
     */
    readonly isWarm: boolean;
    /** True for the candidates on the object's primary side: this region, or the other regions together. */
    readonly isOnPrimarySide: boolean;
    /** Response time relative to the typical latency of the service; 1 is typical. */
    readonly slowness: number;
    /** Share of recent requests that failed on the endpoint, 0 to 1. */
    readonly errorShare: number;
    /** Network round-trip time, in milliseconds. */
    readonly roundTripMs: number;
}
