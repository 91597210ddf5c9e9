/** Results of a benchmark. */
export interface BenchReport {
    /** One row per configuration or measuring point; all rows have the same columns. */
    readonly rows: readonly Readonly<Record<string, string | number>>[];
    /** Figures derived from all rows, such as a ratio or a slope. */
    readonly summary: Readonly<Record<string, number>>;
}
