import type { Outcome } from "@gypsumstage/domain/Outcome";

/** What a caller was told in the end. */
export interface CallerResult {
    /** `lost` means that the connection broke before the answer was whole. */
    readonly outcome: Outcome | "lost";
    readonly status: number;
    readonly body: string;
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    readonly latencyMs: number;
    readonly tries: number;
    /** The idempotency key that was sent. */
    readonly key: string | undefined;
}
