import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RequestFingerprint } from "../request/RequestFingerprint.js";
import type { BrokenAttempt } from "./BrokenAttempt.js";
import type { BrokenAttempts } from "./BrokenAttempts.js";

/** Time after which it is no longer attributed to a broken attempt that its endpoint has ended. */
const PENDING_MS = 5_000;

const isSame = (left: RequestFingerprint, right: RequestFingerprint): boolean =>
    left.headHash === right.headHash && left.digest === right.digest;

/**
 * Creates the record of broken attempts.
 *
 * @returns the record, empty
 */
export const createBrokenAttempts = (): BrokenAttempts => {
    const byRun = new Map<string, readonly BrokenAttempt[]>();
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
        keep(attempt => nowMs - attempt.atMs < PENDING_MS);
    };
    return {
        add: (run, { headHash, digest }) => {
            dropExpired();
            // The given fingerprint may compute its parts from the request, and would keep its body in memory.
            const fingerprint = { headHash, digest };
            byRun.set(run, [...byRun.get(run) ?? [], { fingerprint, atMs: monotonicNow() }]);
        },
        take: run => {
            dropExpired();
            const attempts = byRun.get(run) ?? [];
            byRun.delete(run);
            return attempts;
        },
        forget: fingerprint => keep(attempt => !isSame(attempt.fingerprint, fingerprint)),
        countRuns: fingerprint =>
            [...byRun.values()].filter(attempts =>
                attempts.some(attempt => isSame(attempt.fingerprint, fingerprint))
            ).length,
    };
};
