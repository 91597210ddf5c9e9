import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { EntryContext } from "../EntryContext.js";
import type { HeldSlot } from "../place/HeldSlot.js";
import type { Exchange } from "../read/Exchange.js";
import type { Attempt } from "./Attempt.js";
import { attemptEndpoint } from "./attemptEndpoint.js";
import { combineAttempts } from "./combineAttempts.js";

const isHedgeable = (exchange: Exchange): boolean =>
    exchange.cls.isIdempotent && exchange.cls.length === "short" && !exchange.body.isPresent;

/** Resolves with false when the work ended before the time had passed. */
const isStillRunning = (work: Promise<unknown>, delayMs: number): Promise<boolean> =>
    new Promise(resolve => {
        const timer = setTimeout(() => resolve(true), delayMs);
        void work.then(() => {
            clearTimeout(timer);
            resolve(false);
        });
    });

interface Racer {
    readonly attempt: Promise<Attempt>;
    readonly cancel: () => void;
}

const start = (context: EntryContext, exchange: Exchange, slot: HeldSlot): Racer => {
    const controller = new AbortController();
    const cancel = (): void => controller.abort(new Error("another attempt was faster"));
    const onAbort = (): void => controller.abort(exchange.signal.reason);
    exchange.signal.addEventListener("abort", onAbort, { once: true });
    const attempt = attemptEndpoint(context, exchange, slot, controller.signal);
    return { attempt, cancel };
};

const discard = (racer: Racer): void => {
    racer.cancel();
    void racer.attempt.then(attempt => {
        if (attempt.kind === "answered") {
            attempt.body.destroy();
        }
    });
};

const race = async (first: Racer, second: Racer): Promise<Attempt> => {
    const tagged = [first, second].map(async racer => ({ racer, attempt: await racer.attempt }));
    const winner = await Promise.race(tagged);
    const other = winner.racer === first ? second : first;
    if (winner.attempt.kind !== "answered") {
        return combineAttempts(winner.attempt, await other.attempt);
    }
    discard(other);
    return winner.attempt;
};

/**
 * Makes one attempt at an endpoint, and for idempotent short work a second one at another endpoint when the first
 * takes longer than nearly all of its class. The loser is cancelled. No second attempt is made without a token of
 * the attempt budget or a free slot.
 *
 * @param context - the process
 * @param exchange - the request
 * @param slot - the slot of the first attempt
 * @returns what is known of the attempt that came first
 */
export const attemptWithHedge = async (
    context: EntryContext,
    exchange: Exchange,
    slot: HeldSlot,
): Promise<Attempt> => {
    const delayMs = context.latencies.hedgeDelayMs(exchange.cls);
    if (!isHedgeable(exchange) || delayMs === undefined) {
        return attemptEndpoint(context, exchange, slot, exchange.signal);
    }
    const startedAtMs = monotonicNow();
    const first = start(context, exchange, slot);
    if (!await isStillRunning(first.attempt, delayMs) || context.attempts.get().hedgeTokens < 1) {
        return first.attempt;
    }
    context.latencies.overdue(exchange.cls, slot.endpoint.name, monotonicNow() - startedAtMs);
    const remainingMs = exchange.deadlineAtMs - monotonicNow();
    const other = context.slots.tryAcquire({
        cls: exchange.cls,
        remainingMs,
        tried: new Set([slot.endpoint.name]),
    });
    if (other === undefined) {
        return first.attempt;
    }
    context.attempts.dispatch("hedge");
    context.metrics.attempts.inc({ kind: "hedge" });
    return race(first, start(context, exchange, other));
};
