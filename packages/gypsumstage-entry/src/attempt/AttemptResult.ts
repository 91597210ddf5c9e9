import type { AnsweredAttempt } from "./AnsweredAttempt.js";

/** The result of one attempt to run a request, or the combined result of several. */
export type AttemptResult =
    | AnsweredAttempt
    /** The endpoint or the other entry has stated that it did not run the request. */
    | { readonly kind: "refused"; readonly reason: string; }
    /** No byte of the request has left this process. */
    | { readonly kind: "not-sent"; readonly reason: string; }
    /** The request may have run. */
    | { readonly kind: "unknown"; readonly reason: string; };
