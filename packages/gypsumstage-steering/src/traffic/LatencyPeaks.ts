/** The slowest requests of the current and the previous period, in milliseconds; periods begin at monotonic times. */
export interface LatencyPeaks {
    readonly startedAtMs: number;
    readonly currentMs: number;
    readonly previousMs: number;
}
