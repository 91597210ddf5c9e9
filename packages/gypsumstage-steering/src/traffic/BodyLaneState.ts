/** Memory for the bodies of one lane, in bytes. */
export interface BodyLaneState {
    readonly limitBytes: number;
    /** Reserved for bodies that are being read or served. */
    readonly usedBytes: number;
    /** Wanted by bodies that wait to be read. */
    readonly waitingBytes: number;
}
