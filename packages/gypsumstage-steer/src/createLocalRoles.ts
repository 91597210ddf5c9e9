import type { EntryStatus } from "@gypsumstage/domain/EntryStatus";
import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { LocalRoles } from "./LocalRoles.js";

const REPORT_LIFETIME_MS = 2_000;

interface Report {
    readonly generation: number;
    readonly status: EntryStatus | undefined;
    readonly atMs: number;
}

/**
 * Creates the memory of what the entry and look-up processes of the instance last reported. A report that is
 * not renewed lapses, so that a dead entry is not told to others as alive.
 *
 * @returns the memory, empty
 */
export const createLocalRoles = (): LocalRoles => {
    const reports = new Map<ViewSyncRequest["role"], Report>();
    const recent = (role: ViewSyncRequest["role"]): Report | undefined => {
        const report = reports.get(role);
        return report !== undefined && monotonicNow() - report.atMs < REPORT_LIFETIME_MS ? report : undefined;
    };
    return {
        entry: () => recent("entry")?.status,
        generation: () => Math.min(recent("entry")?.generation ?? 0, recent("lookup")?.generation ?? 0),
        report: req => {
            reports.set(req.role, { generation: req.generation, status: req.status, atMs: monotonicNow() });
        },
    };
};
