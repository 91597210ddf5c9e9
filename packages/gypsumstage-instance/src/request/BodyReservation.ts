/** Memory reserved for the body of a request. */
export interface BodyReservation {
    /** Reserves further bytes; returns false, and reserves nothing, when there is no room. */
    readonly grow: (bytes: number) => boolean;
    /** Frees what lies beyond this size, once the size of the body is known. */
    readonly shrink: (bytes: number) => void;
    /** Frees the memory; calls after the first have no effect. */
    readonly release: () => void;
}
