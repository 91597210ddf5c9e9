import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { endsBefore } from "@gypsumstage/steering/traffic/endsBefore";
import { isSafeKind } from "@gypsumstage/steering/traffic/isSafeKind";
import type { CallerRequest } from "./CallerRequest.js";
import { createAttemptSet } from "./createAttemptSet.js";
import { createServeEventHandler } from "./createServeEventHandler.js";
import { createTimer } from "./createTimer.js";
import { isStarted } from "./isStarted.js";
import type { LabelledReply } from "./LabelledReply.js";
import { logSlowOrFailedRequest } from "./logSlowOrFailedRequest.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";
import type { ServeEvent } from "./ServeEvent.js";

/** Time after the deadline during which an endpoint's response is still accepted. */
const LATE_RESPONSE_GRACE_MS = 120;
/**
 * A safe request without a response is hedged after HEDGE_TARGET_SHARE of the target latency of the route, or
 * after HEDGE_TYPICAL_FACTOR times the typical latency of the service, whichever is later.
 */
const HEDGE_TARGET_SHARE = 0.8;
const HEDGE_TYPICAL_FACTOR = 3;
const NO_ENDPOINT_RETRY_AFTER_MS = 500;
/** Other instances serve at once. */
const LEAVING_RETRY_AFTER_MS = 50;

/**
 * Serves a request: chooses a service and an endpoint, sends the request, retries or hedges it where that is
 * allowed, and returns the reply. A request that was sent and then fails or exceeds the target latency is
 * logged.
 *
 * @param ctx - dependencies that all requests share
 * @param req - the caller's request
 * @param route - the route that the request matched
 * @param callerDisconnect - resolves when the caller has closed its connection
 * @returns the reply, labelled with the chosen service
 */
export const serveRequest = async (
    ctx: RequestContext,
    req: CallerRequest,
    route: Route,
    callerDisconnect: Promise<void>,
): Promise<LabelledReply> => {
    const key = req.objectKey ?? req.id ?? String(Math.random());
    const service = req.relayed?.service ?? ctx.chooseService(route, key);
    if (service === undefined) {
        const reply: Reply = {
            kind: "refused",
            reason: "no-service",
            retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS,
        };
        return { reply, labels: { service: "unknown", kind: route.kind } };
    }
    const labels = { service, kind: route.kind };
    if (req.relayed === undefined) {
        ctx.retryBudget.countRequest(service);
    }
    const timeoutAtMs = req.arrivedAtMs + route.timeoutMs;
    const deadlineAtMs = Math.min(timeoutAtMs, req.callerDeadlineAtMs ?? timeoutAtMs);
    const answerAtMs = ctx.stopSchedule.answerAtMs();
    const slowestMs = ctx.tracker.slowestMs(service);
    const latestAnswerAtMs = deadlineAtMs + LATE_RESPONSE_GRACE_MS;
    if (answerAtMs !== undefined && !endsBefore(monotonicNow(), latestAnswerAtMs, slowestMs, answerAtMs)) {
        return {
            reply: { kind: "refused", reason: "leaving", retryAfterMs: LEAVING_RETRY_AFTER_MS },
            labels,
        };
    }
    const attempts = createAttemptSet(ctx, req, route, service, key, deadlineAtMs);
    void callerDisconnect.then(attempts.abort);
    const first = await attempts.startNext();
    if (first.kind === "abandoned") {
        return { reply: { kind: "abandoned" }, labels };
    }
    if (!isStarted(first)) {
        const retryAfterMs = first.kind === "no-endpoint" ? NO_ENDPOINT_RETRY_AFTER_MS : first.retryAfterMs;
        const status = first.kind === "over-cap" ? { status: 429 as const } : {};
        return { reply: { kind: "refused", reason: first.kind, retryAfterMs, ...status }, labels };
    }
    const typicalMs = ctx.tracker.typicalMs(service, route.targetLatencyMs);
    const hedgeAfterMs = Math.max(
        HEDGE_TARGET_SHARE * route.targetLatencyMs,
        HEDGE_TYPICAL_FACTOR * typicalMs,
    );
    const hedgeTimer = createTimer<ServeEvent>(hedgeAfterMs, { kind: "hedge-due" });
    const deadlineTimer = createTimer<ServeEvent>(latestAnswerAtMs - monotonicNow(), {
        kind: "deadline",
    });
    const disconnect = callerDisconnect.then((): ServeEvent => ({ kind: "caller-gone" }));
    let unregisterStop = (): void => undefined;
    const stopping = new Promise<ServeEvent>(resolve => {
        unregisterStop = ctx.stopSchedule.registerEndListener(() => resolve({ kind: "stopping" }));
    });
    const handleEvent = createServeEventHandler(attempts, route, service, deadlineAtMs, ctx.retryBudget);
    let isHedgePending = isSafeKind(route.kind);
    const nextEvent = (): Promise<ServeEvent> =>
        Promise.race([
            ...attempts.running().map(each =>
                each.then((attempt): ServeEvent => ({ kind: "finished", attempt }))
            ),
            ...(isHedgePending ? [hedgeTimer.fired] : []),
            deadlineTimer.fired,
            stopping,
            disconnect,
        ]);
    try {
        let reply: Reply | undefined;
        while (reply === undefined) {
            const event = await nextEvent();
            isHedgePending &&= event.kind !== "hedge-due";
            reply = await handleEvent(event);
        }
        logSlowOrFailedRequest(ctx, req, route, service, attempts, reply);
        return { reply, labels };
    }
    finally {
        unregisterStop();
        hedgeTimer.cancel();
        deadlineTimer.cancel();
    }
};
