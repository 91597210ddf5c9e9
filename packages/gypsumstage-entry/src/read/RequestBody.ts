/**
 * The body of a request. It is a stream and can be sent only once; an attempt that failed before it read any byte does
 * not prevent a retry.
 */
export interface RequestBody {
    /** Whether the request has a body at all. */
    readonly isPresent: boolean;
    /** Whether nothing has been read from the body yet. */
    readonly isUntouched: () => boolean;
    /** Whether the body has been received completely. */
    readonly isComplete: () => boolean;
    /** Returns the chunks of the body for one attempt. */
    readonly open: () => AsyncIterable<Buffer>;
}
