/** Limits the bytes sent on one link to a rate that may change at any time. */
export interface LinkPacer {
    /** Waits until the bytes may be sent; rejects when the signal aborts. */
    readonly acquire: (bytes: number, length: "short" | "long", signal: AbortSignal) => Promise<void>;
    /** Grants as many waiting calls of `acquire` as the rate permits now. */
    readonly grantQueued: () => void;
    /** Returns the demand in bytes per second: the rate requested recently plus the bytes that are waiting. */
    readonly demand: () => number;
}
