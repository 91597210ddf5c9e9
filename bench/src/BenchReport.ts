/** What a benchmark found: one row a configuration or point. */
export interface BenchReport {
    readonly rows: readonly Readonly<Record<string, string | number>>[];
    /** What the rows say together, such as a ratio or a slope. */
    readonly summary: Readonly<Record<string, number>>;
}
