/** Bytes forwarded in one direction within an interval of 100 ms. */
export interface ByteCount {
    readonly fromHost: string;
    readonly toHost: string;
    /** Number of the interval on the monotonic clock. */
    readonly bucket: number;
    readonly bytes: number;
}
