/** Command line options of a benchmark. */
export interface BenchOptions {
    /** Seed of the pseudo-random numbers. */
    readonly seed: number;
    /** Number of runs of each configuration; benchmarks that compare configurations interleave their runs. */
    readonly runs: number;
}
