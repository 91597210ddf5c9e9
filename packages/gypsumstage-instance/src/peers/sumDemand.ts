import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";

/**
 * Sums the demand that instances report.
 *
 * @param reports - the reports
 * @returns requests within the window of the retry budget, by service
 */
export const sumDemand = (
    reports: readonly Pick<PeerReport, "demand">[],
): Readonly<Record<string, number>> => {
    const totals: Record<string, number> = {};
    for (const [service, count] of reports.flatMap(report => Object.entries(report.demand))) {
        totals[service] = (totals[service] ?? 0) + count;
    }
    return totals;
};
