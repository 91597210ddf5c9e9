/** The body of a caller's request. It can be sent once, but an attempt that never took a byte leaves it whole. */
export interface RequestBody {
    /** Whether the request has a body at all. */
    readonly isPresent: boolean;
    /** Whether no byte has been taken yet. */
    readonly isUntouched: () => boolean;
    /** Whether the caller has sent all of it. */
    readonly isComplete: () => boolean;
    /** Opens the body for one attempt. */
    readonly open: () => AsyncIterable<Buffer>;
}
