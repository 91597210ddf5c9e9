import type { IncomingHttpHeaders } from "node:http";
import type { AttemptOutcome } from "./AttemptOutcome.js";

/** Collects a response within its limits. */
export interface ResponseCollector {
    /** Takes the head of a response; heads of interim responses (1xx) are ignored. */
    readonly addHead: (status: number, headers: IncomingHttpHeaders) => void;
    /** Takes the next piece of the body. */
    readonly addPiece: (piece: Buffer) => void;
    /** Returns the collected response to a request with the given method. */
    readonly finish: (method: string) => AttemptOutcome;
    /** Frees the reserved memory. */
    readonly close: () => void;
}
