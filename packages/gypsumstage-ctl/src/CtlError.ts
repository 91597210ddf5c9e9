import type { AdminError } from "@gypsumstage/domain/AdminError";

/** Why a command of the operators failed. */
export type CtlError =
    | AdminError
    /** No administration address could be connected to: nothing was changed. */
    | { readonly kind: "admin-unreachable"; readonly reason: string; }
    /** The connection broke after the command was sent: whether it took effect is not known. */
    | { readonly kind: "answer-lost"; readonly reason: string; };
