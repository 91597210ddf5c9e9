/** Bytes forwarded in one direction within an interval of 100 ms. */
export interface ByteCount {
    readonly fromHost: string;
    readonly toHost: string;
    /** Number of the interval: the time on the monotonic clock, in units of 100 ms. */
    readonly bucket: number;
    readonly bytes: number;
}
