/** Controls the reading of a response from its endpoint. */
export interface ResponseFlow {
    /** Returns whether its reading may pause. */
    readonly canPause: () => boolean;
    readonly pause: () => void;
    readonly resume: () => void;
}
