import type { Registry } from "prom-client";
import type { ReplyLabels } from "./ReplyLabels.js";
import type { Reply } from "./request/Reply.js";

/** Metrics of an instance. Durations are passed in milliseconds. */
export interface InstanceMetrics {
    readonly registry: Registry;
    readonly recordReply: (reply: Reply, labels: ReplyLabels, tookMs: number) => void;
    /** Records the time from a request's arrival to its first attempt at an endpoint. */
    readonly recordWait: (service: string, waitedMs: number) => void;
    /** Records how long a request waited for its turn at a service, and what ended that. */
    readonly recordQueueWait: (service: string, result: string, waitedMs: number) => void;
    /** Counts an attempt at an endpoint that is known to have stated a rate limit. */
    readonly countRateLimitedAttempt: (service: string) => void;
    /** Counts a choice of an endpoint by stated load: one of the usual candidates, or a further one because those were full. */
    readonly countPlacement: (service: string, candidate: "usual" | "further") => void;
    /** Counts a permit for a request to a rate-limited endpoint. */
    readonly countPermit: (service: string, result: "granted" | "denied") => void;
    /** Counts a permit for an attempt of a workspace with a usage cap. */
    readonly countUsage: (result: "granted" | "exceeded") => void;
    /** Counts a request that was passed on to another instance, or by one, and what came of it. */
    readonly countRelay: (direction: "sent" | "received", result: string) => void;
    /** Counts an attempt to confirm the copy of the configuration, by the store or another instance. */
    readonly countConfirmation: (source: "store" | "instance", result: "confirmed" | "failed") => void;
    readonly recordAttempt: (service: string, classification: string, tookMs: number) => void;
    /** Records a fetch of a topic from a peer: what came of it, the records received and the time it took. */
    readonly recordTopicPull: (topic: string, result: string, records: number, tookMs: number) => void;
    /** Records the time between two reports of the same peer. */
    readonly recordReportGap: (gapMs: number) => void;
    readonly countReportBytes: (direction: "sent" | "received", bytes: number) => void;
    readonly countStoreCall: (
        topic: string,
        call: "list" | "watch" | "read" | "write",
        result: string,
    ) => void;
}
