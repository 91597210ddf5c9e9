/** A request of a caller. */
export interface CallerRequest {
    readonly service: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    /** Identifies the request in the records of the stand-ins. */
    readonly id: string;
    /** Whether to send an idempotency key, made for the home that the look-up names. */
    readonly isKeyed?: boolean;
    /** Key to send instead of a new one. */
    readonly key?: string;
    readonly body?: string | Buffer;
    /** Position in the look-up answer of the instance to use first; 0 is the best. */
    readonly firstInstanceIndex?: number;
    /** How often a request that was not run, or whose answer was lost, is sent again. */
    readonly maxAttempts?: number;
    readonly timeoutMs?: number;
}
