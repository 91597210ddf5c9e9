import type { Outcome } from "@gypsumstage/domain/Outcome";

/** Result of a request after its last attempt. */
export interface CallerResult {
    /** `lost` means that the connection failed or the timeout passed before the response was complete. */
    readonly outcome: Outcome | "lost";
    readonly status: number;
    readonly body: string;
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    readonly latencyMs: number;
    /** Number of attempts. */
    readonly tries: number;
    /** The idempotency key that was sent. */
    readonly key: string | undefined;
}
