import type { RequestOutcome } from "@gypsumstage/domain/RequestOutcome";

/** Result of a request after its last attempt. */
export interface CallerResult {
    /** `lost` means that the connection failed or the timeout passed before the response was complete. */
    readonly outcome: RequestOutcome | "lost";
    /** HTTP status; 0 when no response was received completely. */
    readonly status: number;
    /** The response body; the error message when no response was received completely. */
    readonly body: string;
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    readonly latencyMs: number;
    readonly attempts: number;
    /** The idempotency key that was sent. */
    readonly key: string | undefined;
}
