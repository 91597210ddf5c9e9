/** What another instance decided about a request before it passed it on. */
export interface RelayedRequest {
    /** Version of the configuration that it acts on. */
    readonly policyVersion: number;
    /** The service that it chose. */
    readonly service: string;
    /** Number of endpoints to which the request may still be sent. */
    readonly attemptsLeft: number;
    /** Digest of the key of the caller's workspace; absent when the caller sent none. */
    readonly keyDigest?: string;
}
