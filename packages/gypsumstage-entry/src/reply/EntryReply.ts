import type { AnsweredAttempt } from "../attempt/AnsweredAttempt.js";
import type { StoredResponse } from "../keyed/StoredResponse.js";
import type { EntryProblem } from "./EntryProblem.js";

/** What the entry returns to a caller or to another entry. */
export type EntryReply =
    | { readonly kind: "answer"; readonly answer: AnsweredAttempt; }
    /** A response stored for replay: that of an earlier attempt with the key, or this one if small enough to store. */
    | { readonly kind: "stored"; readonly answer: StoredResponse; readonly isReplay: boolean; }
    | { readonly kind: "problem"; readonly problem: EntryProblem; };
