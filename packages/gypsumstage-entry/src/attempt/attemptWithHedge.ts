import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { EntryContext } from "../EntryContext.js";
import type { HeldSlot } from "../place/HeldSlot.js";
import type { Exchange } from "../read/Exchange.js";
import { attemptEndpoint } from "./attemptEndpoint.js";
import type { AttemptResult } from "./AttemptResult.js";
import { combineAttempts } from "./combineAttempts.js";

const isHedgeable = (exchange: Exchange): boolean =>
    exchange.cls.isIdempotent && exchange.cls.length === "short" && !exchange.body.isPresent;

/** Resolves with true when the work is still pending after the delay, and with false as soon as it has ended. */
const isPendingAfter = (work: Promise<unknown>, delayMs: number): Promise<boolean> =>
    new Promise(resolve => {
        const timer = setTimeout(() => resolve(true), delayMs);
        void work.then(() => {
            clearTimeout(timer);
            resolve(false);
        });
    });

interface RunningAttempt {
    readonly attempt: Promise<AttemptResult>;
    readonly cancel: () => void;
}

const startAttempt = (context: EntryContext, exchange: Exchange, slot: HeldSlot): RunningAttempt => {
    const controller = new AbortController();
    const cancel = (): void => controller.abort(new Error("another attempt was faster"));
    const onAbort = (): void => controller.abort(exchange.signal.reason);
    exchange.signal.addEventListener("abort", onAbort, { once: true });
    const attempt = attemptEndpoint(context, exchange, slot, controller.signal);
    return { attempt, cancel };
};

const discard = (running: RunningAttempt): void => {
    running.cancel();
    void running.attempt.then(attempt => {
        if (attempt.kind === "answered") {
            attempt.body.destroy();
        }
    });
};

const race = async (first: RunningAttempt, second: RunningAttempt): Promise<AttemptResult> => {
    const results = [first, second].map(async running => ({ running, attempt: await running.attempt }));
    const winner = await Promise.race(results);
    const other = winner.running === first ? second : first;
    if (winner.attempt.kind !== "answered") {
        return combineAttempts(winner.attempt, await other.attempt);
    }
    discard(other);
    return winner.attempt;
};

/**
 * Makes one attempt at an endpoint. For idempotent short work without a body, sends a hedge to another endpoint when
 * the first attempt takes longer than nearly all requests of its class. The attempt that responds first wins, and the
 * other is cancelled. A hedge requires a token of the attempt budget and a free slot.
 *
 * @param context - the latency estimates, the attempt budget and the slots
 * @param exchange - the request
 * @param slot - the slot of the first attempt
 * @returns the result of the attempt that responded first, or the combined result when none did
 */
export const attemptWithHedge = async (
    context: EntryContext,
    exchange: Exchange,
    slot: HeldSlot,
): Promise<AttemptResult> => {
    const delayMs = context.latencyTracker.getHedgeDelayMs(exchange.cls);
    if (!isHedgeable(exchange) || delayMs === undefined) {
        return attemptEndpoint(context, exchange, slot, exchange.signal);
    }
    const startedAtMs = monotonicNow();
    const first = startAttempt(context, exchange, slot);
    if (!await isPendingAfter(first.attempt, delayMs) || context.attemptBudget.get().hedgeTokens < 1) {
        return first.attempt;
    }
    context.latencyTracker.reportOverdue(exchange.cls, slot.endpoint.name, monotonicNow() - startedAtMs);
    const remainingMs = exchange.deadlineAtMs - monotonicNow();
    const hedgeSlot = context.slotQueue.tryAcquire({
        cls: exchange.cls,
        remainingMs,
        tried: new Set([slot.endpoint.name]),
    });
    if (hedgeSlot === undefined) {
        return first.attempt;
    }
    context.attemptBudget.dispatch("hedge");
    context.metrics.attempts.inc({ kind: "hedge" });
    return race(first, startAttempt(context, exchange, hedgeSlot));
};
