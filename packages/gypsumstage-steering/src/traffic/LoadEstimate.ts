/** Present number of requests in flight at an endpoint, as estimated from an older figure. */
export interface LoadEstimate {
    readonly inFlight: number;
    /** Part of `inFlight` that other instances have likely sent since the figure was stated. */
    readonly newInFlight: number;
    /** Standard deviation of the estimate; it grows with the age of the figure. */
    readonly deviation: number;
}
