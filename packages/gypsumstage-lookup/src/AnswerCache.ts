import type { Result } from "@gypsumstage/shared/Result";
import type { LookupError } from "./LookupError.js";

/** Answers look-ups from prepared texts. */
export interface AnswerCache {
    /** Returns the text of an answer for a service. */
    readonly get: (service: string | undefined) => Result<string, LookupError>;
}
