/** Present number of requests in flight at an endpoint, as estimated from an older figure. */
export interface LoadEstimate {
    readonly inFlight: number;
    /** Standard deviation of the estimate; it grows with the age of the figure. */
    readonly deviation: number;
}
