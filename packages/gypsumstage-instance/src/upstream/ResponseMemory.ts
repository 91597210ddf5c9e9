import type { ResponseReservation } from "./ResponseReservation.js";

/** Memory that all responses being received share. */
export interface ResponseMemory {
    /**
     * Reserves memory for a response, 0 bytes at first.
     *
     * @param onEvict - called when the response must be aborted to free its memory
     */
    readonly open: (onEvict: () => void) => ResponseReservation;
    /** Bytes reserved at the moment. */
    readonly usedBytes: () => number;
}
