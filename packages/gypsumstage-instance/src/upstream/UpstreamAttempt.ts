import type { AttemptOutcome } from "./AttemptOutcome.js";

/** An attempt to send a request to an endpoint. */
export interface UpstreamAttempt {
    /** Never rejects. */
    readonly outcome: Promise<AttemptOutcome>;
    /** Aborts the attempt and closes its connection, so that the endpoint stops processing the request. */
    readonly abort: () => void;
}
