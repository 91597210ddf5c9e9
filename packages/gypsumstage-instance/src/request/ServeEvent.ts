import type { FinishedAttempt } from "./FinishedAttempt.js";

/** An event that is handled while a request is being served. */
export type ServeEvent =
    | { readonly kind: "finished"; readonly attempt: FinishedAttempt; }
    | { readonly kind: "hedge-due"; }
    | { readonly kind: "deadline"; }
    | { readonly kind: "caller-gone"; }
    /** The instance stops, and is about to be killed. */
    | { readonly kind: "stopping"; };
