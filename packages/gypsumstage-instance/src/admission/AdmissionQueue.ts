import type { AttemptStart } from "../request/AttemptStart.js";
import type { QueuedRequest } from "./QueuedRequest.js";

/** The requests of one service that wait in this instance for a slot. */
export interface AdmissionQueue {
    /** Starts the first attempt when it is the request's turn; resolves to why not when that does not come. */
    readonly start: (request: QueuedRequest) => Promise<AttemptStart>;
    /** Tries the waiting requests; to be called when a slot may have become free. */
    readonly wake: () => void;
    readonly length: () => number;
}
