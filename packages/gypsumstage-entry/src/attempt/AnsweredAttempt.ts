import type { Readable } from "node:stream";
import type { HeaderFields } from "../reply/HeaderFields.js";

/** An attempt for which the head of a response has been received. */
export interface AnsweredAttempt {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: HeaderFields;
    /** The body, not read yet. */
    readonly body: Readable;
    /** Name of the endpoint or instance that responded, for traces. */
    readonly targetName: string;
}
