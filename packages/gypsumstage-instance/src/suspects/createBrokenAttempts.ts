import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RequestFingerprint } from "../request/RequestFingerprint.js";
import type { BrokenAttempt } from "./BrokenAttempt.js";
import type { BrokenAttempts } from "./BrokenAttempts.js";

/** Time after which it is no longer attributed to a broken attempt that its endpoint has ended. */
const PENDING_MS = 5_000;
/** The same for an attempt that was given up: until an endpoint that ended meanwhile is back, or its entry has expired. */
const SILENT_PENDING_MS = 8_000;

const isSame = (left: RequestFingerprint, right: RequestFingerprint): boolean =>
    left.headHash === right.headHash && left.digest === right.digest;

/**
 * Creates the record of attempts that ended without a response.
 *
 * @returns the record, empty
 */
export const createBrokenAttempts = (): BrokenAttempts => {
    const byRun = new Map<string, readonly BrokenAttempt[]>();
    const takeWhere = (
        run: string,
        isTaken: (attempt: BrokenAttempt) => boolean,
    ): readonly BrokenAttempt[] => {
        dropExpired();
        const attempts = byRun.get(run) ?? [];
        const left = attempts.filter(attempt => !isTaken(attempt));
        if (left.length === 0) {
            byRun.delete(run);
        }
        else {
            byRun.set(run, left);
        }
        return attempts.filter(isTaken);
    };
    const keep = (isKept: (attempt: BrokenAttempt) => boolean): void => {
        for (const [run, attempts] of byRun) {
            const kept = attempts.filter(isKept);
            if (kept.length > 0) {
                byRun.set(run, kept);
            }
            else {
                byRun.delete(run);
            }
        }
    };
    const dropExpired = (): void => {
        const nowMs = monotonicNow();
        keep(({ atMs, isSilent }) => nowMs - atMs < (isSilent ? SILENT_PENDING_MS : PENDING_MS));
    };
    return {
        add: (run, { headHash, digest }, isSilent) => {
            dropExpired();
            // The given fingerprint may compute its parts from the request, and would keep its body in memory.
            const fingerprint = { headHash, digest };
            byRun.set(run, [...byRun.get(run) ?? [], { fingerprint, atMs: monotonicNow(), isSilent }]);
        },
        take: run => takeWhere(run, () => true),
        takeSilent: run => takeWhere(run, attempt => attempt.isSilent),
        forgetSilent: (run, beforeMs) =>
            void takeWhere(run, ({ atMs, isSilent }) => isSilent && atMs < beforeMs),
        forget: fingerprint => keep(attempt => !isSame(attempt.fingerprint, fingerprint)),
        countRuns: fingerprint =>
            [...byRun.values()].filter(attempts =>
                attempts.some(attempt => !attempt.isSilent && isSame(attempt.fingerprint, fingerprint))
            ).length,
    };
};
