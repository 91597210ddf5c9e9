/** Running estimates of a class's latency as callers of the endpoints see it, in milliseconds. */
export interface ClassLatency {
    readonly medianMs: number;
    readonly highMs: number;
    readonly count: number;
}
