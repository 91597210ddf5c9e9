import type { Outcome } from "@gypsumstage/domain/Outcome";

/** Why a request got no answer of an upstream. */
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
    readonly outcome: Outcome;
    readonly reason: string;
}
