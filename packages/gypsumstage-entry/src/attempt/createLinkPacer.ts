import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { refillBucket } from "@gypsumstage/steering/refillBucket";
import type { TokenBucket } from "@gypsumstage/steering/TokenBucket";
import type { LinkPacer } from "./LinkPacer.js";

/**
 * Tokens are added at `RATE_FRACTION` of the usable rate, and a burst may use `BURST_FRACTION` of a second's tokens, so
 * that the bytes of every window of one second stay below the usable rate.
 */
const BURST_FRACTION = 0.04;
const RATE_FRACTION = 0.92;
const LONG_WORK_MIN_FRACTION = 0.1;
const DEMAND_WINDOW_MS = 1_000;
const MS_PER_SECOND = 1_000;

interface Waiter {
    readonly bytes: number;
    readonly grant: () => void;
}

/**
 * Creates the pacer of one link, a token bucket in bytes. Short work has priority; a small part of the rate is
 * guaranteed to long work that waits.
 *
 * @param getUsableRate - returns the bytes per second that may be used now; undefined when the link has no cap
 * @returns the pacer; its owner calls `grantQueued` regularly
 */
export const createLinkPacer = (getUsableRate: () => number | undefined): LinkPacer => {
    const queues: Readonly<Record<"short" | "long", Waiter[]>> = { short: [], long: [] };
    let bucket: TokenBucket = { tokens: 0, refilledAtMs: monotonicNow() };
    let longBucket = bucket;
    let demandWindow = { bytes: 0, sinceMs: monotonicNow(), bytesPerSecond: 0 };
    const updateDemandWindow = (nowMs: number): void => {
        const elapsedMs = nowMs - demandWindow.sinceMs;
        if (elapsedMs >= DEMAND_WINDOW_MS) {
            demandWindow = {
                bytes: 0,
                sinceMs: nowMs,
                bytesPerSecond: demandWindow.bytes / elapsedMs * MS_PER_SECOND,
            };
        }
    };
    const grantNext = (queue: Waiter[]): number => {
        const next = bucket.tokens > 0 ? queue.shift() : undefined;
        if (next === undefined) {
            return 0;
        }
        bucket = { ...bucket, tokens: bucket.tokens - next.bytes };
        next.grant();
        return next.bytes;
    };
    const grantLongMinimum = (): void => {
        let grantedBytes = 1;
        while (grantedBytes > 0 && longBucket.tokens > 0 && queues.short.length > 0) {
            grantedBytes = grantNext(queues.long);
            longBucket = { ...longBucket, tokens: longBucket.tokens - grantedBytes };
        }
    };
    const grantQueued = (): void => {
        const nowMs = monotonicNow();
        updateDemandWindow(nowMs);
        const rate = (getUsableRate() ?? Infinity) * RATE_FRACTION;
        if (rate === Infinity) {
            [...queues.short.splice(0), ...queues.long.splice(0)].forEach(each => each.grant());
            return;
        }
        bucket = refillBucket(bucket, nowMs, rate, rate * BURST_FRACTION);
        longBucket = refillBucket(longBucket, nowMs, rate * LONG_WORK_MIN_FRACTION, rate * BURST_FRACTION);
        grantLongMinimum();
        while (grantNext(queues.short) > 0 || grantNext(queues.long) > 0) {
            // Each iteration grants one waiting call.
        }
    };
    const removeWaiter = (queue: Waiter[], waiter: Waiter): void => {
        const index = queue.indexOf(waiter);
        if (index >= 0) {
            queue.splice(index, 1);
        }
    };
    const enqueue = (bytes: number, queue: Waiter[], signal: AbortSignal): Promise<void> =>
        new Promise((resolve, reject) => {
            const onAbort = (): void => {
                removeWaiter(queue, waiter);
                reject(signal.reason instanceof Error ? signal.reason : new Error("aborted"));
            };
            const grant = (): void => {
                signal.removeEventListener("abort", onAbort);
                resolve();
            };
            const waiter: Waiter = { bytes, grant };
            signal.addEventListener("abort", onAbort, { once: true });
            queue.push(waiter);
        });
    return {
        acquire: (bytes, length, signal) => {
            demandWindow = { ...demandWindow, bytes: demandWindow.bytes + bytes };
            if (signal.aborted) {
                return Promise.reject(signal.reason instanceof Error ? signal.reason : new Error("aborted"));
            }
            const granted = enqueue(bytes, queues[length], signal);
            grantQueued();
            return granted;
        },
        grantQueued,
        demand: () => {
            const queuedBytes = [...queues.short, ...queues.long].reduce((sum, each) => sum + each.bytes, 0);
            return Math.round(demandWindow.bytesPerSecond + queuedBytes);
        },
    };
};
