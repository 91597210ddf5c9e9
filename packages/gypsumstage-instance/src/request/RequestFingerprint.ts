/** Identifies the repeats of a request: the same method, host, path, credentials and body. */
export interface RequestFingerprint {
    /** Hash of all but the body; quick to compute, so most requests are told apart by it. */
    readonly headHash: number;
    /** Cryptographic hash of all. */
    readonly digest: string;
}
