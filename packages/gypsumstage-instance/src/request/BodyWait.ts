/** How long a body may wait for memory. */
export interface BodyWait {
    /** Longest wait, in milliseconds. */
    readonly maxMs: number;
    /** Resolves when the body is not wanted any more. */
    readonly cancelled: Promise<unknown>;
}
