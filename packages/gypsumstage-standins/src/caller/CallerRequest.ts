/** A request of a caller. */
export interface CallerRequest {
    readonly service: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    /** Identifies the request in the records of the stand-ins. */
    readonly id: string;
    /** Whether to send an idempotency key; it is created for the home that the lookup response contains. */
    readonly isKeyed?: boolean;
    /** Idempotency key to send instead of a new one. */
    readonly key?: string;
    readonly body?: string | Buffer;
    /** Index in the lookup response of the instance to use first; 0, the default, is the best. */
    readonly firstInstanceIndex?: number;
    /** Maximum number of attempts, including the first; 1 by default. No attempt follows a served one. */
    readonly maxAttempts?: number;
    /** Time limit of each attempt, in milliseconds; 10 s by default. */
    readonly timeoutMs?: number;
}
