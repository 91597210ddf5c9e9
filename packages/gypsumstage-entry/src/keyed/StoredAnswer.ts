import type { AnswerHeaders } from "../answer/AnswerHeaders.js";

/** An answer that a home keeps for repeats of a keyed request. */
export interface StoredAnswer {
    readonly status: number;
    readonly headers: AnswerHeaders;
    /** Undefined when the body was too large to keep. */
    readonly body: Buffer | undefined;
}
