/** A request of a caller. */
export interface CallerRequest {
    readonly service: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    /** Identifies the request in the records of the stand-ins. */
    readonly id: string;
    /** Whether to send an idempotency key, created for the home in the lookup response. */
    readonly isKeyed?: boolean;
    /** Idempotency key to send instead of a new one. */
    readonly key?: string;
    readonly body?: string | Buffer;
    /** Index in the lookup response of the instance to use first; 0, the default, is the best. */
    readonly firstInstanceIndex?: number;
    /** Maximum number of attempts, the first included, until the request is served; 1 by default. */
    readonly maxAttempts?: number;
    readonly timeoutMs?: number;
}
