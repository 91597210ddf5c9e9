/** How a benchmark is run. */
export interface BenchOptions {
    readonly seed: number;
    /** Interleaved runs of each configuration. */
    readonly runs: number;
}
