import type { AnsweredAttempt } from "../attempt/AnsweredAttempt.js";
import type { StoredAnswer } from "../keyed/StoredAnswer.js";
import type { EntryProblem } from "./EntryProblem.js";

/** What the entry answers a caller or another entry. */
export type EntryReply =
    | { readonly kind: "answer"; readonly answer: AnsweredAttempt; }
    /** An answer kept from an earlier run, or a small one that was kept for repeats. */
    | { readonly kind: "stored"; readonly answer: StoredAnswer; readonly isReplay: boolean; }
    | { readonly kind: "problem"; readonly problem: EntryProblem; };
