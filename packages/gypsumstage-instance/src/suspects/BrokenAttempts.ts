import type { RequestFingerprint } from "../request/RequestFingerprint.js";
import type { BrokenAttempt } from "./BrokenAttempt.js";

/** Attempts that ended without a response, until it is known whether their endpoint has ended. */
export interface BrokenAttempts {
    readonly add: (run: string, fingerprint: RequestFingerprint, isSilent: boolean) => void;
    /** Returns the attempts at a run of an endpoint, and forgets them. */
    readonly take: (run: string) => readonly BrokenAttempt[];
    /** Returns those of them that were given up, and forgets these. */
    readonly takeSilent: (run: string) => readonly BrokenAttempt[];
    /** Forgets the attempts at a run of an endpoint that were given up before this time. */
    readonly forgetSilent: (run: string, beforeMs: number) => void;
    /** Forgets the attempts of a request, because it was run successfully. */
    readonly forget: (fingerprint: RequestFingerprint) => void;
    /** Number of runs at which connections of the request broke, of those that may have ended. */
    readonly countRuns: (fingerprint: RequestFingerprint) => number;
}
