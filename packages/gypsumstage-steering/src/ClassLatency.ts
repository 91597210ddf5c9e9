/** Running estimates of a class's latency, measured at the caller of the endpoints. */
export interface ClassLatency {
    readonly medianMs: number;
    /** 95th percentile. */
    readonly p95Ms: number;
    /** Number of samples. */
    readonly count: number;
}
