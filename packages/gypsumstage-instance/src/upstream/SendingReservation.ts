/** Memory reserved for a response that is being written to its caller. */
export interface SendingReservation {
    /** Records that the caller's connection has taken bytes. */
    readonly recordProgress: () => void;
    /** Frees the memory; calls after the first have no effect. */
    readonly close: () => void;
}
