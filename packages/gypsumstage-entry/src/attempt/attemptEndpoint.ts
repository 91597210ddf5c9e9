import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { EntryContext } from "../EntryContext.js";
import type { HeldSlot } from "../place/HeldSlot.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { AnsweredAttempt } from "./AnsweredAttempt.js";
import type { Attempt } from "./Attempt.js";
import { sendAttempt } from "./sendAttempt.js";

const BLOCKED_AFTER_FAILURE_MS = 500;
const BLOCKED_AFTER_REFUSAL_MS = 50;
const STATUS_UNAVAILABLE = 503;

const takeRefusal = (context: EntryContext, slot: HeldSlot, reason: string): void => {
    const { name, launch } = slot.endpoint;
    if (reason === "draining") {
        context.endpoints.dispatch({ kind: "left", name, launch });
        context.log("info", "endpoint-draining", { endpoint: name });
        return;
    }
    if (reason === "overload") {
        context.endpoints.dispatch({
            kind: "blocked",
            name,
            untilMs: monotonicNow() + BLOCKED_AFTER_REFUSAL_MS,
        });
    }
};

const judgeAnswer = (
    context: EntryContext,
    exchange: Exchange,
    slot: HeldSlot,
    answer: AnsweredAttempt,
    startedAtMs: number,
): Attempt => {
    const refused = answer.headers[HEADERS.refused];
    const { name, launch } = slot.endpoint;
    if (answer.headers[HEADERS.draining] !== undefined) {
        context.endpoints.dispatch({ kind: "left", name, launch });
    }
    if (answer.status === STATUS_UNAVAILABLE && typeof refused === "string") {
        answer.body.resume();
        takeRefusal(context, slot, refused);
        return { kind: "refused", reason: refused };
    }
    context.latencies.observe(exchange.cls, name, monotonicNow() - startedAtMs);
    return answer;
};

/**
 * Makes one attempt at an endpoint of the own data centre. The slot is given back when the attempt fails or the
 * answer's body has ended.
 *
 * @param context - the process
 * @param exchange - the request
 * @param slot - the slot that the request holds
 * @param signal - aborts the attempt
 * @returns what is known of the attempt
 */
export const attemptEndpoint = async (
    context: EntryContext,
    exchange: Exchange,
    slot: HeldSlot,
    signal: AbortSignal,
): Promise<Attempt> => {
    const { name, address } = slot.endpoint;
    const startedAtMs = monotonicNow();
    context.metrics.slotWait.observe({ service: exchange.cls.service }, slot.waitedMs / 1_000);
    const attempt = await sendAttempt(context, exchange, {
        address,
        place: name,
        otherRegion: undefined,
        headers: {},
        signal,
    });
    if (attempt.kind !== "answered") {
        slot.release();
        if (attempt.kind === "not-sent" || !signal.aborted) {
            context.endpoints.dispatch({
                kind: "blocked",
                name,
                untilMs: monotonicNow() + BLOCKED_AFTER_FAILURE_MS,
            });
        }
        if (attempt.kind === "unknown" && signal.aborted) {
            context.latencies.overdue(exchange.cls, name, monotonicNow() - startedAtMs);
        }
        return attempt;
    }
    const judged = judgeAnswer(context, exchange, slot, attempt, startedAtMs);
    if (judged.kind === "answered") {
        judged.body.once("close", slot.release);
    }
    else {
        slot.release();
    }
    return judged;
};
