import type { RequestFingerprint } from "../request/RequestFingerprint.js";

/** An attempt that ended without a response. */
export interface BrokenAttempt {
    readonly fingerprint: RequestFingerprint;
    /** When it ended, on the monotonic clock. */
    readonly atMs: number;
    /** True when it was given up, as nothing came; false when its connection broke. */
    readonly isSilent: boolean;
}
