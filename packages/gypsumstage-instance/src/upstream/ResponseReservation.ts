/** Memory reserved for one response. */
export interface ResponseReservation {
    /** Reserves further bytes; this may evict the largest response, possibly this one. */
    readonly grow: (bytes: number) => void;
    /** Frees the memory; calls after the first have no effect. */
    readonly close: () => void;
}
