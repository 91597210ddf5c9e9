/** Health of one endpoint as observed by this instance. Times are monotonic, in milliseconds. */
export interface EndpointHealth {
    /** End of the backoff period, during which the endpoint gets no requests. */
    readonly backoffUntilMs: number;
    /** Until when the endpoint asked for no requests of this instance. */
    readonly pausedUntilMs: number;
    /** Connection and health check failures since the last complete response; each one lengthens the backoff. */
    readonly consecutiveFailures: number;
    /** Time until which the endpoint is cold and the rate of requests to it is limited. */
    readonly coldUntilMs: number;
    /** True when the endpoint may have restarted; a health check must report first whether it is cold. */
    readonly needsHealthCheck: boolean;
    /** True when the endpoint announced that it is leaving, or when another endpoint has its address. */
    readonly isLeaving: boolean;
    /** Moving average of response times relative to the typical latency of the service; 1 is typical. */
    readonly slowness: number;
    /** Moving average of the share of failed requests, 0 to 1. */
    readonly errorShare: number;
    /** When `slowness` and `errorShare` were last updated; they decay from then on. */
    readonly measuredAtMs: number;
}
