import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { refillBucket } from "@gypsumstage/steering/refillBucket";
import type { TokenBucket } from "@gypsumstage/steering/TokenBucket";
import type { LinkPacer } from "./LinkPacer.js";

/** Part of the rate that may leave at once, and the part that refills evenly: any second stays under the cap. */
const BURST_PART = 0.04;
const RATE_PART = 0.92;
const LONG_MINIMUM_PART = 0.1;
const DEMAND_WINDOW_MS = 1_000;
const MS_PER_SECOND = 1_000;

interface Waiting {
    readonly bytes: number;
    readonly send: () => void;
}

/**
 * Creates the pacer of one link. Short work goes first; long work is sure of a small part.
 *
 * @param usable - returns the bytes a second that may be used now; undefined when the link has no cap
 * @returns the pacer
 */
export const createLinkPacer = (usable: () => number | undefined): LinkPacer => {
    const queues: Readonly<Record<"short" | "long", Waiting[]>> = { short: [], long: [] };
    let bucket: TokenBucket = { tokens: 0, refilledAtMs: monotonicNow() };
    let longBucket = bucket;
    let wanted = { bytes: 0, sinceMs: monotonicNow(), perSecond: 0 };
    const measureDemand = (nowMs: number): void => {
        const elapsedMs = nowMs - wanted.sinceMs;
        if (elapsedMs >= DEMAND_WINDOW_MS) {
            wanted = { bytes: 0, sinceMs: nowMs, perSecond: wanted.bytes / elapsedMs * MS_PER_SECOND };
        }
    };
    const sendNext = (queue: Waiting[]): number => {
        const next = bucket.tokens > 0 ? queue.shift() : undefined;
        if (next === undefined) {
            return 0;
        }
        bucket = { ...bucket, tokens: bucket.tokens - next.bytes };
        next.send();
        return next.bytes;
    };
    const sendLongMinimum = (): void => {
        let sent = 1;
        while (sent > 0 && longBucket.tokens > 0 && queues.short.length > 0) {
            sent = sendNext(queues.long);
            longBucket = { ...longBucket, tokens: longBucket.tokens - sent };
        }
    };
    const serve = (): void => {
        const nowMs = monotonicNow();
        measureDemand(nowMs);
        const rate = (usable() ?? Infinity) * RATE_PART;
        if (rate === Infinity) {
            [...queues.short.splice(0), ...queues.long.splice(0)].forEach(each => each.send());
            return;
        }
        bucket = refillBucket(bucket, nowMs, rate, rate * BURST_PART);
        longBucket = refillBucket(longBucket, nowMs, rate * LONG_MINIMUM_PART, rate * BURST_PART);
        sendLongMinimum();
        while (sendNext(queues.short) > 0 || sendNext(queues.long) > 0) {
            // Each turn sends one part.
        }
    };
    const forget = (queue: Waiting[], waiting: Waiting): void => {
        const index = queue.indexOf(waiting);
        if (index >= 0) {
            queue.splice(index, 1);
        }
    };
    const enqueue = (bytes: number, queue: Waiting[], signal: AbortSignal): Promise<void> =>
        new Promise((resolve, reject) => {
            const onAbort = (): void => {
                forget(queue, waiting);
                reject(signal.reason instanceof Error ? signal.reason : new Error("aborted"));
            };
            const send = (): void => {
                signal.removeEventListener("abort", onAbort);
                resolve();
            };
            const waiting: Waiting = { bytes, send };
            signal.addEventListener("abort", onAbort, { once: true });
            queue.push(waiting);
        });
    return {
        take: (bytes, length, signal) => {
            wanted = { ...wanted, bytes: wanted.bytes + bytes };
            if (signal.aborted) {
                return Promise.reject(signal.reason instanceof Error ? signal.reason : new Error("aborted"));
            }
            const sent = enqueue(bytes, queues[length], signal);
            serve();
            return sent;
        },
        serve,
        demand: () => {
            const queued = [...queues.short, ...queues.long].reduce((sum, each) => sum + each.bytes, 0);
            return Math.round(wanted.perSecond + queued);
        },
    };
};
