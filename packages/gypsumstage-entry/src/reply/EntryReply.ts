import type { AnsweredAttempt } from "../attempt/AnsweredAttempt.js";
import type { StoredResponse } from "../keyed/StoredResponse.js";
import type { EntryProblem } from "./EntryProblem.js";

/** What the entry returns to a caller or to another entry. */
export type EntryReply =
    | { readonly kind: "answer"; readonly answer: AnsweredAttempt; }
    /** A stored response: that of an earlier request with the same key, or that of this request, stored for retries. */
    | { readonly kind: "stored"; readonly answer: StoredResponse; readonly isReplay: boolean; }
    | { readonly kind: "problem"; readonly problem: EntryProblem; };
