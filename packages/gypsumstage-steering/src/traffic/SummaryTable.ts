import type { DataCentreSummary } from "./DataCentreSummary.js";

/** The most recent summary of each other data centre, and when it was made (monotonic, in milliseconds), by name. */
export type SummaryTable = ReadonlyMap<
    string,
    { readonly summary: DataCentreSummary; readonly madeAtMs: number; }
>;
