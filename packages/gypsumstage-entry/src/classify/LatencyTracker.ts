import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { ClassLatency } from "@gypsumstage/steering/ClassLatency";

/** Estimates the latency of each class, and reports to the endpoint store how each endpoint compares with it. */
export interface LatencyTracker {
    /** Records the latency of a response. */
    readonly observe: (cls: RequestClass, endpoint: string, latencyMs: number) => void;
    /** Reports that an endpoint has not responded for `elapsedMs`; the estimate of the class is unchanged. */
    readonly reportOverdue: (cls: RequestClass, endpoint: string, elapsedMs: number) => void;
    /** Returns the delay after which a request of the class may be hedged; undefined while samples are too few. */
    readonly getHedgeDelayMs: (cls: RequestClass) => number | undefined;
    /** Returns the latency estimates of a class, or undefined before its first sample. */
    readonly get: (cls: RequestClass) => ClassLatency | undefined;
}
