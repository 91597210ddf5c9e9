import type { Registry } from "prom-client";
import type { ReplyLabels } from "./ReplyLabels.js";
import type { Reply } from "./request/Reply.js";

/** Metrics of an instance. Durations are passed in milliseconds. */
export interface InstanceMetrics {
    readonly registry: Registry;
    readonly recordReply: (reply: Reply, labels: ReplyLabels, tookMs: number) => void;
    /** Records the time from a request's arrival to its first attempt at an endpoint. */
    readonly recordWait: (service: string, waitedMs: number) => void;
    readonly recordAttempt: (service: string, classification: string, tookMs: number) => void;
    readonly countStoreCall: (topic: string, call: "list" | "watch", result: string) => void;
}
