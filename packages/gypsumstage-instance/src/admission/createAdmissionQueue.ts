import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { AdmissionRule } from "@gypsumstage/steering/traffic/AdmissionRule";
import { decideAdmission } from "@gypsumstage/steering/traffic/decideAdmission";
import { orderAdmissions } from "@gypsumstage/steering/traffic/orderAdmissions";
import { setImmediate } from "node:timers/promises";
import type { AttemptStart } from "../request/AttemptStart.js";
import { isStarted } from "../request/isStarted.js";
import type { StopSchedule } from "../StopSchedule.js";
import type { AdmissionQueue } from "./AdmissionQueue.js";
import { createRecentUse } from "./createRecentUse.js";
import type { QueuedRequest } from "./QueuedRequest.js";

/** Slots that other instances free are known from their reports only, so waiting requests are tried at this interval. */
const RETRY_INTERVAL_MS = 30;
const START_RATE_DECAY_MS = 2_000;
/** Long enough to distinguish a workspace with few requests per second at this instance from one without any. */
const USE_DECAY_MS = 10_000;
const MS_PER_SECOND = 1_000;
/** Other instances serve at once. */
const LEAVING_RETRY_AFTER_MS = 50;

/** What a queue uses of its instance. */
interface QueueParts {
    readonly rule: () => AdmissionRule;
    /** Typical time of a request of the service. */
    readonly workMs: () => number;
    readonly stopSchedule: StopSchedule;
    /** Called when a request that waited leaves the queue. */
    readonly onEnd: (result: string, waitedMs: number) => void;
}

interface QueueEntry {
    readonly request: QueuedRequest;
    readonly enqueuedAtMs: number;
    /** Resolves the request's promise to a start, or to a promise that rejects. */
    readonly settle: (start: AttemptStart | Promise<AttemptStart>) => void;
    isBeingTried: boolean;
}

/**
 * Creates the queue of one service. Requests start in the order of `orderAdmissions`, as far as their candidate
 * endpoints have room. They leave it when they are started or refused, when their callers leave or the instance stops.
 *
 * @param parts - what the queue uses of its instance
 * @returns the queue, empty
 */
export const createAdmissionQueue = (parts: QueueParts): AdmissionQueue => {
    const entries = new Map<QueuedRequest, QueueEntry>();
    const use = createRecentUse(USE_DECAY_MS);
    const starts = createRecentUse(START_RATE_DECAY_MS);
    let isPassRunning = false;
    let isRerunWanted = false;
    let timer: NodeJS.Timeout | undefined;
    const recordStart = (request: QueuedRequest, start: AttemptStart): void => {
        if (isStarted(start)) {
            use.add(request.workspace);
            starts.add(undefined);
        }
    };
    const end = (entry: QueueEntry, start: AttemptStart): void => {
        if (entries.delete(entry.request)) {
            recordStart(entry.request, start);
            const result = isStarted(start) ? "started" : start.kind;
            parts.onEnd(result, monotonicNow() - entry.enqueuedAtMs);
            entry.settle(start);
        }
    };
    /** Ends a request that waits; an attempt that waits for a permit will not start. */
    const cancel = (entry: QueueEntry, start: AttemptStart): void => {
        if (entries.has(entry.request)) {
            entry.request.abort();
            end(entry, start);
        }
    };
    /** Tries a request; returns without its result if that takes longer, as when it waits for a permit. */
    const tryEntry = async (entry: QueueEntry): Promise<void> => {
        entry.isBeingTried = true;
        const start = entry.request.tryStart();
        const trying = start.then(result => {
            entry.isBeingTried = false;
            if (result.kind !== "no-room") {
                end(entry, result);
            }
        }, () => {
            entries.delete(entry.request);
            entry.settle(start);
        });
        await Promise.race([trying, setImmediate()]);
    };
    const runPass = async (): Promise<void> => {
        const answerAtMs = parts.stopSchedule.answerAtMs() ?? Infinity;
        const workMs = parts.workMs();
        const ordered = orderAdmissions(
            [...entries.keys()],
            parts.rule(),
            use.read,
            workMs,
            monotonicNow(),
        );
        let ahead = 0;
        for (const request of ordered) {
            if (isRerunWanted) {
                // A slot that became free during the pass is for the first in order.
                return;
            }
            const entry = entries.get(request);
            if (entry === undefined || entry.isBeingTried) {
                ahead += entry === undefined ? 0 : 1;
                continue;
            }
            const decision = decideAdmission(
                { ...request, deadlineAtMs: Math.min(request.deadlineAtMs, answerAtMs) },
                {
                    ahead,
                    startsPerSecond: starts.read(undefined) / START_RATE_DECAY_MS * MS_PER_SECOND,
                    workMs,
                    nowMs: monotonicNow(),
                    random: Math.random(),
                },
            );
            if (decision.kind === "refuse") {
                cancel(entry, { kind: decision.reason, retryAfterMs: decision.retryAfterMs });
                continue;
            }
            if (decision.kind === "place" && request.mayHaveRoom()) {
                await tryEntry(entry);
            }
            ahead += entries.has(request) ? 1 : 0;
        }
    };
    const wake = (): void => {
        if (isPassRunning || entries.size === 0) {
            isRerunWanted = isPassRunning;
            return;
        }
        isPassRunning = true;
        clearTimeout(timer);
        void runPass().finally(() => {
            isPassRunning = false;
            if (isRerunWanted) {
                isRerunWanted = false;
                wake();
            }
            else if (entries.size > 0) {
                timer = setTimeout(wake, RETRY_INTERVAL_MS);
            }
        });
    };
    const enqueue = (request: QueuedRequest): Promise<AttemptStart> =>
        new Promise(resolve => {
            let unregisterStop = (): void => undefined;
            const entry: QueueEntry = {
                request,
                enqueuedAtMs: monotonicNow(),
                settle: start => {
                    unregisterStop();
                    resolve(start);
                },
                isBeingTried: false,
            };
            entries.set(request, entry);
            unregisterStop = parts.stopSchedule.registerEndListener(() =>
                cancel(entry, { kind: "leaving", retryAfterMs: LEAVING_RETRY_AFTER_MS })
            );
            void request.callerDisconnect.then(() => cancel(entry, { kind: "abandoned" }));
            wake();
        });
    return {
        start: async request => {
            if (entries.size > 0) {
                return enqueue(request);
            }
            const start = await request.tryStart();
            recordStart(request, start);
            return start.kind === "no-room" ? enqueue(request) : start;
        },
        wake,
        length: () => entries.size,
    };
};
