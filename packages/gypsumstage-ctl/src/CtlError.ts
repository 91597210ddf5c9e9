import type { AdminError } from "@gypsumstage/domain/AdminError";

/** Error of a `gypsumctl` command. */
export type CtlError =
    | AdminError
    /** No administration address could be reached. Nothing was changed: no POST request was sent. */
    | { readonly kind: "admin-unreachable"; readonly reason: string; }
    /** The connection failed after the command was sent: it is not known whether the command took effect. */
    | { readonly kind: "answer-lost"; readonly reason: string; };
