import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { ClassLatency } from "@gypsumstage/steering/ClassLatency";

/** Keeps the running latencies of the classes, and judges endpoints by them. */
export interface LatencyTracker {
    /** Takes the latency of an answer. */
    readonly observe: (cls: RequestClass, endpoint: string, latencyMs: number) => void;
    /** Takes notice that an endpoint has not answered for this long. */
    readonly overdue: (cls: RequestClass, endpoint: string, elapsedMs: number) => void;
    /** When an unanswered request of the class may be sent a second time; undefined while too little is known. */
    readonly hedgeDelayMs: (cls: RequestClass) => number | undefined;
    /** Estimates by class. */
    readonly get: (cls: RequestClass) => ClassLatency | undefined;
}
