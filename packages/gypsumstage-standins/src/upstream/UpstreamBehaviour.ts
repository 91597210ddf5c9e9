/** Behaviour of a stand-in endpoint. */
export interface UpstreamBehaviour {
    readonly slots: number;
    /** Service time of a request that is not long (see `longMs`), after receipt of its body, in milliseconds. */
    readonly shortMs: number;
    /** Service time of a request with a `content-length` above 64 KiB, after receipt of its body, in milliseconds. */
    readonly longMs: number;
    /** Factor that service times are multiplied by. */
    readonly slowFactor: number;
    /** Fraction of requests whose response is truncated in the middle, from 0 to 1. */
    readonly truncatedFraction: number;
    /** Fraction of requests that are executed, but whose connection is closed before the response, from 0 to 1. */
    readonly lostFraction: number;
    /** Whether the connection of every request is closed immediately, without executing the request. */
    readonly isFailing: boolean;
    /** Whether the endpoint refuses new requests and signals draining, also in responses to requests in flight. */
    readonly isDraining: boolean;
    /** Bytes of padding after the JSON object of a response body. */
    readonly paddingBytes: number;
}
