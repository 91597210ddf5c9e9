/** Holds the bytes of one link under a rate that may change at any time. */
export interface LinkPacer {
    /** Waits until the bytes may be sent; rejects when the signal aborts. */
    readonly take: (bytes: number, length: "short" | "long", signal: AbortSignal) => Promise<void>;
    /** Sends what the rate allows now. */
    readonly serve: () => void;
    /** Bytes a second wanted. */
    readonly demand: () => number;
}
