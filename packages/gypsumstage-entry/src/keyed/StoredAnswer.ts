import type { AnswerHeaders } from "../answer/AnswerHeaders.js";

/** A response that the home of a key stores for retries of the request. */
export interface StoredAnswer {
    readonly status: number;
    readonly headers: AnswerHeaders;
    /** Undefined when the body was too large to store. */
    readonly body: Buffer | undefined;
}
