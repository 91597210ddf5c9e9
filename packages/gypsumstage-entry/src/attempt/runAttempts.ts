import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { isRetryAllowed } from "@gypsumstage/steering/isRetryAllowed";
import { trace } from "@opentelemetry/api";
import type { EntryContext } from "../EntryContext.js";
import { NO_FREE_SLOT } from "../place/NO_FREE_SLOT.js";
import type { Placement } from "../place/Placement.js";
import { placeRequest } from "../place/placeRequest.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { HeaderFields } from "../reply/HeaderFields.js";
import type { AnsweredAttempt } from "./AnsweredAttempt.js";
import { attemptPeer } from "./attemptPeer.js";
import type { AttemptResult } from "./AttemptResult.js";
import { attemptWithHedge } from "./attemptWithHedge.js";
import { combineAttempts } from "./combineAttempts.js";

const MAX_UNBUDGETED_RETRIES = 2;

const attemptPlacement = async (
    context: EntryContext,
    exchange: Exchange,
    placement: Exclude<Placement, { readonly kind: "none"; }>,
): Promise<AttemptResult> => {
    if (placement.kind === "endpoint") {
        return attemptWithHedge(context, exchange, placement.slot);
    }
    const headers: HeaderFields = exchange.key === undefined ? {} : { [HEADERS.keyChecked]: "yes" };
    const startedAtMs = monotonicNow();
    const attempt = await attemptPeer(context, exchange, placement.peer, headers);
    if (placement.reason === "move") {
        const isWithinLatencyTarget = monotonicNow() - startedAtMs <= exchange.cls.latencyTargetMs;
        context.moveRamps.observe(exchange.cls.service, attempt.kind === "answered" && isWithinLatencyTarget);
    }
    return attempt;
};

const canRetry = (
    context: EntryContext,
    exchange: Exchange,
    attempt: Exclude<AttemptResult, AnsweredAttempt>,
): boolean =>
    !exchange.signal.aborted
    && exchange.source.kind === "caller"
    && isRetryAllowed(
        exchange.cls,
        attempt.kind,
        !exchange.body.isPresent || exchange.body.isUntouched(),
        context.attemptBudget.get(),
    );

/** Whether a peer refused without trying an endpoint. A retry then adds no load to endpoints and takes no token. */
const isRetryUnbudgeted = (exchange: Exchange, placement: Placement, attempt: AttemptResult): boolean =>
    placement.kind === "peer"
    && attempt.kind === "refused"
    && attempt.reason === NO_FREE_SLOT
    && !exchange.signal.aborted
    && (!exchange.body.isPresent || exchange.body.isUntouched());

/**
 * Runs a request: chooses where to send it and makes an attempt, and retries while the result of the failed attempt and
 * the attempt budget permit it. A request forwarded by another entry is not retried here, so that retries do not
 * multiply.
 *
 * @param context - the attempt budget, and the modules that choose and send to a target
 * @param exchange - the request
 * @returns the combined result of all attempts
 */
export const runAttempts = async (context: EntryContext, exchange: Exchange): Promise<AttemptResult> => {
    const tried = new Set<string>();
    let previous: AttemptResult | undefined;
    let unbudgetedRetries = 0;
    context.attemptBudget.dispatch("first-attempt");
    for (;;) {
        if (exchange.signal.aborted) {
            return combineAttempts(previous, { kind: "refused", reason: "the deadline has passed" });
        }
        const placement = await placeRequest(context, exchange, tried);
        trace.getSpan(exchange.trace)?.addEvent("placed", { kind: placement.kind, reason: placement.reason });
        if (placement.kind === "none") {
            return combineAttempts(previous, { kind: "refused", reason: placement.reason });
        }
        tried.add(placement.kind === "endpoint" ? placement.slot.endpoint.name : placement.peer.name);
        const attempt = await attemptPlacement(context, exchange, placement);
        if (unbudgetedRetries < MAX_UNBUDGETED_RETRIES && isRetryUnbudgeted(exchange, placement, attempt)) {
            unbudgetedRetries += 1;
            continue;
        }
        const combined = combineAttempts(previous, attempt);
        if (combined.kind === "answered" || !canRetry(context, exchange, combined)) {
            return combined;
        }
        context.attemptBudget.dispatch("retry");
        previous = combined;
    }
};
