import type { Readable } from "node:stream";
import type { AnswerHeaders } from "../answer/AnswerHeaders.js";

/** An attempt whose answer has begun. */
export interface AnsweredAttempt {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: Readable;
    /** Where the answer comes from, for traces. */
    readonly place: string;
}
