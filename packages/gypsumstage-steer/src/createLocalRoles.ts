import type { EntryStatus } from "@gypsumstage/domain/EntryStatus";
import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { LocalRoles } from "./LocalRoles.js";

const REPORT_LIFETIME_MS = 2_000;

interface Report {
    readonly generation: number;
    readonly status: EntryStatus | undefined;
    readonly receivedAtMs: number;
}

/**
 * Creates a tracker of the latest reports of the instance's entry and lookup processes. A report that is not renewed
 * expires, so that an entry that has exited is not reported to other instances as alive.
 *
 * @returns the tracker, without any report
 */
export const createLocalRoles = (): LocalRoles => {
    const reports = new Map<ViewSyncRequest["role"], Report>();
    const getRecentReport = (role: ViewSyncRequest["role"]): Report | undefined => {
        const report = reports.get(role);
        return report !== undefined && monotonicNow() - report.receivedAtMs < REPORT_LIFETIME_MS
            ? report
            : undefined;
    };
    return {
        entryStatus: () => getRecentReport("entry")?.status,
        lowestGeneration: () =>
            Math.min(getRecentReport("entry")?.generation ?? 0, getRecentReport("lookup")?.generation ?? 0),
        recordReport: req => {
            reports.set(req.role, {
                generation: req.generation,
                status: req.status,
                receivedAtMs: monotonicNow(),
            });
        },
    };
};
