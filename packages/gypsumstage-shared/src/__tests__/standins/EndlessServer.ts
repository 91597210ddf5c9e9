/** A server that answers each request with bytes that do not end. */
export interface EndlessServer {
    /** `IP:port`. */
    readonly address: string;
    /** Bytes written on all connections. */
    readonly writtenBytes: () => number;
    /** Returns whether the peer has closed all connections. */
    readonly isClosed: () => boolean;
    readonly stop: () => void;
}
