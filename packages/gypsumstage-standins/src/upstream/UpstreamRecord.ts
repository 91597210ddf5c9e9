/** What a stand-in endpoint has seen. */
export interface UpstreamRecord {
    readonly started: number;
    readonly refused: number;
    readonly inFlight: number;
    readonly maxInFlight: number;
    /** When the last request began, by the monotonic clock, in milliseconds. */
    readonly lastStartedAtMs: number;
    /** How often each request was run, by its identifier. */
    readonly executions: ReadonlyMap<string, number>;
}
