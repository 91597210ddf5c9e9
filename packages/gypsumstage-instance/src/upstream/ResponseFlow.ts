/** Controls the reading of a response from its endpoint. */
export interface ResponseFlow {
    readonly pause: () => void;
    readonly resume: () => void;
}
