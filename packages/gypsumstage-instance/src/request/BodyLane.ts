import type { BodyReservation } from "./BodyReservation.js";
import type { BodyWait } from "./BodyWait.js";

/** Memory that bodies of similar size share. */
export interface BodyLane {
    /** Returns a reservation of nothing. */
    readonly open: () => BodyReservation;
    /**
     * Reserves memory for a body; waits for it while others hold it.
     *
     * @param bytes - size of the body
     * @param wait - how long it may wait
     * @returns the reservation; undefined when there is no room in time
     */
    readonly reserve: (bytes: number, wait: BodyWait) => Promise<BodyReservation | undefined>;
    /** Bytes reserved at the moment. */
    readonly usedBytes: () => number;
}
