import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { isRetryAllowed } from "@gypsumstage/steering/isRetryAllowed";
import { trace } from "@opentelemetry/api";
import type { AnswerHeaders } from "../answer/AnswerHeaders.js";
import type { EntryContext } from "../EntryContext.js";
import { NO_FREE_SLOT } from "../place/NO_FREE_SLOT.js";
import type { Placement } from "../place/Placement.js";
import { placeRequest } from "../place/placeRequest.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { AnsweredAttempt } from "./AnsweredAttempt.js";
import type { Attempt } from "./Attempt.js";
import { attemptPeer } from "./attemptPeer.js";
import { attemptWithHedge } from "./attemptWithHedge.js";
import { combineAttempts } from "./combineAttempts.js";

const MAX_TURNED_AWAY = 2;

const attemptAt = async (
    context: EntryContext,
    exchange: Exchange,
    placement: Exclude<Placement, { readonly kind: "none"; }>,
): Promise<Attempt> => {
    if (placement.kind === "endpoint") {
        return attemptWithHedge(context, exchange, placement.slot);
    }
    const headers: AnswerHeaders = exchange.key === undefined ? {} : { [HEADERS.keyChecked]: "yes" };
    const startedAtMs = monotonicNow();
    const attempt = await attemptPeer(context, exchange, placement.peer, headers);
    if (placement.reason === "move") {
        const isInTime = monotonicNow() - startedAtMs <= exchange.cls.latencyTargetMs;
        context.moves.observe(exchange.cls.service, attempt.kind === "answered" && isInTime);
    }
    return attempt;
};

const mayGoOn = (
    context: EntryContext,
    exchange: Exchange,
    attempt: Exclude<Attempt, AnsweredAttempt>,
): boolean =>
    !exchange.signal.aborted
    && exchange.source.kind === "caller"
    && isRetryAllowed(
        exchange.cls,
        attempt.kind,
        !exchange.body.isPresent || exchange.body.isUntouched(),
        context.attempts.get(),
    );

/** No endpoint was tried, so going on costs the endpoints nothing and takes no token. */
const wasTurnedAway = (exchange: Exchange, placement: Placement, attempt: Attempt): boolean =>
    placement.kind === "peer"
    && attempt.kind === "refused"
    && attempt.reason === NO_FREE_SLOT
    && !exchange.signal.aborted
    && (!exchange.body.isPresent || exchange.body.isUntouched());

/**
 * Has a request run: places it, and places it again while what is known of the failed attempt and the attempt
 * budget allow it. A request that another entry forwarded gets one attempt, so that retries do not multiply.
 *
 * @param context - the process
 * @param exchange - the request
 * @returns what is known of the last attempt
 */
export const runAttempts = async (context: EntryContext, exchange: Exchange): Promise<Attempt> => {
    const tried = new Set<string>();
    let last: Attempt | undefined;
    let turnedAway = 0;
    context.attempts.dispatch("first-attempt");
    for (;;) {
        if (exchange.signal.aborted) {
            return combineAttempts(last, { kind: "refused", reason: "the deadline has passed" });
        }
        const placement = await placeRequest(context, exchange, tried);
        trace.getSpan(exchange.trace)?.addEvent("placed", { kind: placement.kind, reason: placement.reason });
        if (placement.kind === "none") {
            return combineAttempts(last, { kind: "refused", reason: placement.reason });
        }
        tried.add(placement.kind === "endpoint" ? placement.slot.endpoint.name : placement.peer.name);
        const attempt = await attemptAt(context, exchange, placement);
        if (turnedAway < MAX_TURNED_AWAY && wasTurnedAway(exchange, placement, attempt)) {
            turnedAway += 1;
            continue;
        }
        const known = combineAttempts(last, attempt);
        if (known.kind === "answered" || !mayGoOn(context, exchange, known)) {
            return known;
        }
        context.attempts.dispatch("retry");
        last = known;
    }
};
