/** A response whose bytes an instance holds in memory. */
export interface HeldResponse {
    /** True when it is whole and being written to its caller; false while it is received from an endpoint. */
    readonly isSending: boolean;
    readonly bytes: number;
    /** When its last bytes were received, or were taken by the caller's connection (monotonic, milliseconds). */
    readonly progressAtMs: number;
    /** True while reading from the endpoint is paused. */
    readonly isPaused: boolean;
}
