/** The rate limit of an endpoint, as one instance tells it to others. */
export interface RateLimitNotice {
    readonly endpointId: string;
    /** Start of the endpoint's run to which the limit belongs. */
    readonly startedAt: number;
    /** Requests per second from all instances together; absent when the limit was withdrawn. */
    readonly ratePerSecond?: number;
    /** Time since the response that stated it, in milliseconds. */
    readonly ageMs: number;
}
