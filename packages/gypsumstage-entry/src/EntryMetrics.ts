import type { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Prometheus metrics of the entry process. */
export interface EntryMetrics {
    readonly registry: Registry;
    readonly requests: Counter;
    readonly latency: Histogram;
    readonly slotWait: Histogram;
    readonly attempts: Counter;
    readonly malformed: Counter;
    readonly gauges: readonly Gauge[];
}
