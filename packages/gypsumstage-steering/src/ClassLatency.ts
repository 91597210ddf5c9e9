/** Running estimates of a class's latency, measured by the entry that sends the requests. */
export interface ClassLatency {
    readonly medianMs: number;
    /** 95th percentile. */
    readonly p95Ms: number;
    /** Number of samples. */
    readonly count: number;
}
