import type { AnsweredAttempt } from "./AnsweredAttempt.js";

/** What the entry knows of one attempt to have a request run. */
export type Attempt =
    | AnsweredAttempt
    /** The receiver says that it did not run the request. */
    | { readonly kind: "refused"; readonly reason: string; }
    /** Not a byte left this process. */
    | { readonly kind: "not-sent"; readonly reason: string; }
    /** The request may have run. */
    | { readonly kind: "unknown"; readonly reason: string; };
