/** Limits on the size of a caller's request and on the time for sending it. */
export interface ClientLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    /** Timeout for receiving a request's headers, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Timeout for an idle connection, in milliseconds. */
    readonly idleTimeoutMs: number;
}
