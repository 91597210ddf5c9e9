import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { endsBefore } from "@gypsumstage/steering/traffic/endsBefore";
import { awaitReply } from "./awaitReply.js";
import type { CallerRequest } from "./CallerRequest.js";
import { createAttemptSet } from "./createAttemptSet.js";
import { isStarted } from "./isStarted.js";
import type { LabelledReply } from "./LabelledReply.js";
import { LATE_RESPONSE_GRACE_MS } from "./LATE_RESPONSE_GRACE_MS.js";
import { logSlowOrFailedRequest } from "./logSlowOrFailedRequest.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";
import { spreadRefusal } from "./spreadRefusal.js";
import { startFirstAttempt } from "./startFirstAttempt.js";

const STATUS_TOO_MANY_REQUESTS = 429 as const;
const NO_ENDPOINT_RETRY_AFTER_MS = 500;
/** Other instances serve at once. */
const LEAVING_RETRY_AFTER_MS = 50;

/**
 * Serves a request: chooses a service and an endpoint, sends the request, retries or hedges it where that is
 * allowed, and returns the reply. At a service with admission, the request may wait for a slot first. It is refused when
 * the instance stops too soon for a response, when no attempt can be started, when the usage cap of its workspace is
 * exhausted or when its key is not accepted any more. A request that was sent and then fails or exceeds the target latency
 * is logged.
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
    const first = await startFirstAttempt(
        ctx,
        req,
        route,
        service,
        attempts,
        deadlineAtMs,
        callerDisconnect,
    );
    if (first.kind === "abandoned") {
        return { reply: { kind: "abandoned" }, labels };
    }
    if (first.kind === "key-refused") {
        return { reply: first.reply, labels };
    }
    if (!isStarted(first)) {
        const retryAfterMs = first.kind === "no-endpoint" ? NO_ENDPOINT_RETRY_AFTER_MS : first.retryAfterMs;
        const status = first.kind === "over-cap" ? { status: STATUS_TOO_MANY_REQUESTS } : {};
        const refusal: Reply = { kind: "refused", reason: first.kind, retryAfterMs, ...status };
        return { reply: spreadRefusal(ctx, service, refusal, deadlineAtMs), labels };
    }
    const reply = await awaitReply(ctx, route, service, attempts, deadlineAtMs, callerDisconnect);
    logSlowOrFailedRequest(ctx, req, route, service, attempts, reply);
    return { reply: spreadRefusal(ctx, service, reply, deadlineAtMs), labels };
};
