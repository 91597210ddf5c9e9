import type { DataCentreSummary } from "./DataCentreSummary.js";
import type { SummaryTable } from "./SummaryTable.js";

/**
 * Records the summary of a data centre, whoever passed it on.
 *
 * @param summaries - the table so far
 * @param summary - the received summary
 * @param nowMs - current monotonic time
 * @returns the next table; the same object when a more recent summary is known
 */
export const mergeSummary = (
    summaries: SummaryTable,
    summary: DataCentreSummary,
    nowMs: number,
): SummaryTable => {
    const madeAtMs = nowMs - summary.ageMs;
    const known = summaries.get(summary.dataCentre);
    return known !== undefined && known.madeAtMs >= madeAtMs
        ? summaries
        : new Map([...summaries, [summary.dataCentre, { summary, madeAtMs }]]);
};
