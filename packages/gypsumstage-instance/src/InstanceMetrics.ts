import type { Registry } from "prom-client";
import type { ReplyLabels } from "./ReplyLabels.js";
import type { Reply } from "./request/Reply.js";

/** Counters and histograms of an instance. Times are in milliseconds. */
export interface InstanceMetrics {
    readonly registry: Registry;
    readonly countReply: (reply: Reply, labels: ReplyLabels, tookMs: number) => void;
    /** Counts the time between a request's arrival and its first sending to an endpoint. */
    readonly countWait: (service: string, waitedMs: number) => void;
    readonly countAttempt: (service: string, verdict: string, tookMs: number) => void;
    readonly countStoreCall: (topic: string, call: "list" | "watch", result: string) => void;
}
