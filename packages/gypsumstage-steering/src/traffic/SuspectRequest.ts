/** A request that was in flight at endpoints when they ended. Times are monotonic. */
export interface SuspectRequest {
    /** Hash by which its repeats are recognized. */
    readonly digest: string;
    /** Hash of all but its body. */
    readonly headHash: number;
    /** When endpoints ended with the request in flight, by a hash of the endpoint's run; only the latest ones. */
    readonly endedAtMs: ReadonlyMap<string, number>;
    /** When an endpoint last ran it successfully; undefined when none is known to have done so. */
    readonly answeredAtMs: number | undefined;
}
