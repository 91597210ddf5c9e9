import type { RequestOutcome } from "@gypsumstage/domain/RequestOutcome";

/** The error that the entry returns in place of a response of an endpoint. */
export interface EntryProblem {
    readonly kind:
        | "no-configuration"
        | "route-unknown"
        | "header-invalid"
        | "key-required"
        | "key-mismatch"
        | "key-from-the-future"
        | "key-too-old"
        | "key-table-full"
        | "key-home-lost"
        | "key-claim-failed"
        | "answer-not-kept"
        | "no-capacity"
        | "deadline-passed"
        | "upstream-failed"
        | "internal-error";
    readonly status: number;
    readonly outcome: RequestOutcome;
    readonly reason: string;
}
