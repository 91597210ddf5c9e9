import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { refillBucket } from "@gypsumstage/steering/refillBucket";
import type { TokenBucket } from "@gypsumstage/steering/TokenBucket";
import type { LinkPacers } from "./LinkPacers.js";

const TICK_MS = 5;
/** Part of the rate that may leave at once, and the part that refills evenly: any second stays under the cap. */
const BURST_PART = 0.04;
const RATE_PART = 0.92;
const LONG_MINIMUM_PART = 0.1;
const DEMAND_WINDOW_MS = 1_000;

interface Waiting {
    readonly bytes: number;
    readonly resolve: () => void;
    readonly signal: AbortSignal;
}

interface Link {
    readonly short: Waiting[];
    readonly long: Waiting[];
    bucket: TokenBucket;
    longBucket: TokenBucket;
    wantedBytes: number;
    wantedSinceMs: number;
    demand: number;
}

/**
 * Creates the pacers of the links out of a region. Short work goes first; long work is sure of a small part.
 *
 * @param region - region of the instance
 * @param usable - tells what this instance may use of a resource; undefined when it has no cap
 * @returns the pacers
 */
export const createLinkPacers = (
    region: string,
    usable: (resource: string) => number | undefined,
): LinkPacers => {
    const links = new Map<string, Link>();
    const resourceOf = (to: string): string => `link:${region}>${to}`;
    const createLink = (resource: string): Link => {
        const nowMs = monotonicNow();
        const empty: TokenBucket = { tokens: 0, refilledAtMs: nowMs };
        const link: Link = {
            short: [],
            long: [],
            bucket: empty,
            longBucket: empty,
            wantedBytes: 0,
            wantedSinceMs: nowMs,
            demand: 0,
        };
        links.set(resource, link);
        return link;
    };
    const measureDemand = (link: Link, nowMs: number): void => {
        const elapsedMs = nowMs - link.wantedSinceMs;
        if (elapsedMs >= DEMAND_WINDOW_MS) {
            link.demand = link.wantedBytes / elapsedMs * 1_000;
            link.wantedBytes = 0;
            link.wantedSinceMs = nowMs;
        }
    };
    const sendNext = (link: Link, queue: Waiting[]): boolean => {
        const next = queue[0];
        if (next === undefined || link.bucket.tokens <= 0) {
            return false;
        }
        queue.shift();
        link.bucket = { ...link.bucket, tokens: link.bucket.tokens - next.bytes };
        next.resolve();
        return true;
    };
    const serve = (resource: string, link: Link): void => {
        const nowMs = monotonicNow();
        const rate = (usable(resource) ?? Infinity) * RATE_PART;
        const burst = rate * BURST_PART;
        measureDemand(link, nowMs);
        if (rate === Infinity) {
            [...link.short.splice(0), ...link.long.splice(0)].forEach(each => each.resolve());
            return;
        }
        link.bucket = refillBucket(link.bucket, nowMs, rate, burst);
        link.longBucket = refillBucket(link.longBucket, nowMs, rate * LONG_MINIMUM_PART, burst);
        while (link.longBucket.tokens > 0 && link.long.length > 0 && link.short.length > 0) {
            const bytes = link.long[0]?.bytes ?? 0;
            if (!sendNext(link, link.long)) {
                break;
            }
            link.longBucket = { ...link.longBucket, tokens: link.longBucket.tokens - bytes };
        }
        while (sendNext(link, link.short) || sendNext(link, link.long)) {
            // Each turn sends one part.
        }
    };
    const timer = setInterval(() => links.forEach((link, resource) => serve(resource, link)), TICK_MS);
    const forget = (queue: Waiting[], waiting: Waiting): void => {
        const index = queue.indexOf(waiting);
        if (index >= 0) {
            queue.splice(index, 1);
        }
    };
    return {
        take: (to, bytes, length, signal) => {
            const resource = resourceOf(to);
            if (usable(resource) === undefined) {
                return Promise.resolve();
            }
            const link = links.get(resource) ?? createLink(resource);
            link.wantedBytes += bytes;
            return new Promise((resolve, reject) => {
                const queue = link[length];
                const onAbort = (): void => {
                    forget(queue, waiting);
                    reject(signal.reason instanceof Error ? signal.reason : new Error("aborted"));
                };
                const waiting: Waiting = {
                    bytes,
                    signal,
                    resolve: () => {
                        signal.removeEventListener("abort", onAbort);
                        resolve();
                    },
                };
                if (signal.aborted) {
                    onAbort();
                    return;
                }
                signal.addEventListener("abort", onAbort, { once: true });
                queue.push(waiting);
                serve(resource, link);
            });
        },
        demand: () =>
            Object.fromEntries([...links].map(([resource, link]) => {
                const queued = [...link.short, ...link.long].reduce((sum, each) => sum + each.bytes, 0);
                return [resource, Math.round(link.demand + queued)];
            })),
        stop: () => clearInterval(timer),
    };
};
