import type { ResponseFlow } from "./ResponseFlow.js";
import type { ResponseReservation } from "./ResponseReservation.js";
import type { SendingReservation } from "./SendingReservation.js";

/** Memory that all responses share, from their first byte until the connections of their callers have taken them. */
export interface ResponseMemory {
    /**
     * Reserves memory for a response that is being received, 0 bytes at first.
     *
     * @param onEvict - called when the response must be aborted to free its memory
     * @param flow - pauses and resumes the reading of the response
     */
    readonly open: (onEvict: () => void, flow?: ResponseFlow) => ResponseReservation;
    /**
     * Reserves memory for a whole response that is being written to its caller.
     *
     * @param bytes - its size
     * @param onCut - called when the caller must be cut off to free the memory
     */
    readonly hold: (bytes: number, onCut: () => void) => SendingReservation;
    /** Bytes reserved at the moment. */
    readonly usedBytes: () => number;
    /** Callers that were cut off so far. */
    readonly cutCallers: () => number;
}
