import type { FinishedAttempt } from "./FinishedAttempt.js";

/** An attempt of a request at one endpoint. */
export interface RunningAttempt {
    readonly endpointId: string;
    readonly finished: Promise<FinishedAttempt>;
    /** Aborts the attempt; `finished` still resolves. */
    readonly abort: () => void;
}
