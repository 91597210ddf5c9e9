/** Counters of a stand-in endpoint. */
export interface UpstreamRecord {
    readonly started: number;
    readonly refused: number;
    readonly inFlight: number;
    readonly maxInFlight: number;
    /** Time at which the last request started, on the monotonic clock, in milliseconds; 0 if none has. */
    readonly lastStartedAtMs: number;
    /** Number of executions by idempotency key or identifier of the request. */
    readonly executions: ReadonlyMap<string, number>;
}
