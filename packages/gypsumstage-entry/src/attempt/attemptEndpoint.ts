import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { EntryContext } from "../EntryContext.js";
import type { HeldSlot } from "../place/HeldSlot.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { AnsweredAttempt } from "./AnsweredAttempt.js";
import type { AttemptResult } from "./AttemptResult.js";
import { sendAttempt } from "./sendAttempt.js";

const FAILURE_BLOCK_MS = 500;
const OVERLOAD_BLOCK_MS = 50;
const STATUS_SERVICE_UNAVAILABLE = 503;

const handleRefusal = (context: EntryContext, slot: HeldSlot, reason: string): void => {
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
            untilMs: monotonicNow() + OVERLOAD_BLOCK_MS,
        });
    }
};

const classifyResponse = (
    context: EntryContext,
    exchange: Exchange,
    slot: HeldSlot,
    res: AnsweredAttempt,
    startedAtMs: number,
): AttemptResult => {
    const refused = res.headers[HEADERS.refused];
    const { name, launch } = slot.endpoint;
    if (res.headers[HEADERS.draining] !== undefined) {
        context.endpoints.dispatch({ kind: "left", name, launch });
    }
    if (res.status === STATUS_SERVICE_UNAVAILABLE && typeof refused === "string") {
        res.body.resume();
        handleRefusal(context, slot, refused);
        return { kind: "refused", reason: refused };
    }
    context.latencyTracker.observe(exchange.cls, name, monotonicNow() - startedAtMs);
    return res;
};

/**
 * Makes one attempt at an endpoint of the entry's data centre, and records refusals, failures and latencies of the
 * endpoint. The slot is released when the attempt fails or the body of the response is closed.
 *
 * @param context - the stores in which results are recorded, and the HTTP client
 * @param exchange - the request
 * @param slot - the slot that the request holds; this function releases it
 * @param signal - aborts the attempt
 * @returns the result of the attempt
 */
export const attemptEndpoint = async (
    context: EntryContext,
    exchange: Exchange,
    slot: HeldSlot,
    signal: AbortSignal,
): Promise<AttemptResult> => {
    const { name, address } = slot.endpoint;
    const startedAtMs = monotonicNow();
    context.metrics.slotWait.observe({ service: exchange.cls.service }, slot.waitedMs / 1_000);
    const attempt = await sendAttempt(context, exchange, {
        address,
        targetName: name,
        remoteRegion: undefined,
        headers: {},
        signal,
    });
    if (attempt.kind !== "answered") {
        slot.release();
        if (attempt.kind === "not-sent" || !signal.aborted) {
            context.endpoints.dispatch({
                kind: "blocked",
                name,
                untilMs: monotonicNow() + FAILURE_BLOCK_MS,
            });
        }
        if (attempt.kind === "unknown" && signal.aborted) {
            context.latencyTracker.reportOverdue(exchange.cls, name, monotonicNow() - startedAtMs);
        }
        return attempt;
    }
    const classified = classifyResponse(context, exchange, slot, attempt, startedAtMs);
    if (classified.kind === "answered") {
        classified.body.once("close", slot.release);
    }
    else {
        slot.release();
    }
    return classified;
};
