/** Bytes of a direction in one tenth of a second. */
export interface ByteCount {
    readonly fromHost: string;
    readonly toHost: string;
    readonly bucket: number;
    readonly bytes: number;
}
