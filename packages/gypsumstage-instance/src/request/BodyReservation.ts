/** Memory reserved for the body of a request. */
export interface BodyReservation {
    /** Frees the memory; calls after the first have no effect. */
    readonly release: () => void;
}
