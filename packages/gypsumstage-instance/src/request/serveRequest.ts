import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { CallerRequest } from "./CallerRequest.js";
import { createAlarm } from "./createAlarm.js";
import { createAttemptSet } from "./createAttemptSet.js";
import { createReaction } from "./createReaction.js";
import { explainReply } from "./explainReply.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";
import type { ServedReply } from "./ServedReply.js";
import type { ServeEvent } from "./ServeEvent.js";

/** Time after the deadline for which an endpoint's own answer is still awaited, in milliseconds. */
const LATE_ANSWER_MS = 120;
/** Part of the target after which a safe request that still waits is sent to a second endpoint. */
const HEDGE_TARGET_SHARE = 0.8;
/** Usual times of work after which it is. */
const HEDGE_TYPICAL_TIMES = 3;
const NO_ENDPOINT_RETRY_MS = 500;

/**
 * Serves a request: places it, sends it, sends it once more where that is allowed and helps, and settles what
 * the caller gets.
 *
 * @param ctx - what serving needs
 * @param req - the request
 * @param route - its route
 * @param gone - resolves when the caller has closed its connection
 * @returns the reply, with the service that was asked
 */
export const serveRequest = async (
    ctx: RequestContext,
    req: CallerRequest,
    route: Route,
    gone: Promise<void>,
): Promise<ServedReply> => {
    const key = req.objectKey ?? req.id ?? String(Math.random());
    const service = ctx.targets(route, key);
    if (service === undefined) {
        const reply: Reply = { kind: "refused", reason: "no-service", retryAfterMs: NO_ENDPOINT_RETRY_MS };
        return { reply, labels: { service: "unknown", kind: route.kind } };
    }
    const labels = { service, kind: route.kind };
    ctx.repeats.countRequest(service);
    const timeoutAt = req.arrivedAt + route.timeoutMs;
    const deadline = Math.min(timeoutAt, req.callerDeadline ?? timeoutAt);
    const attempts = createAttemptSet(ctx, req, route, service, key, deadline);
    const first = attempts.startNext();
    if (first.kind !== "placed") {
        const retryAfterMs = first.kind === "no-room" ? first.retryAfterMs : NO_ENDPOINT_RETRY_MS;
        return { reply: { kind: "refused", reason: first.kind, retryAfterMs }, labels };
    }
    const typicalMs = ctx.tracker.typicalMs(service, route.targetLatencyMs);
    const hedgeMs = Math.max(HEDGE_TARGET_SHARE * route.targetLatencyMs, HEDGE_TYPICAL_TIMES * typicalMs);
    const hedge = createAlarm<ServeEvent>(hedgeMs, { kind: "hedge-due" });
    const end = createAlarm<ServeEvent>(deadline + LATE_ANSWER_MS - monotonicNow(), { kind: "deadline" });
    const left = gone.then((): ServeEvent => ({ kind: "caller-gone" }));
    const react = createReaction(attempts, route, service, deadline, ctx.repeats);
    let isHedgePending = route.kind === "safe";
    const nextEvent = (): Promise<ServeEvent> =>
        Promise.race([
            ...attempts.running().map(each =>
                each.then((attempt): ServeEvent => ({ kind: "finished", attempt }))
            ),
            ...(isHedgePending ? [hedge.rings] : []),
            end.rings,
            left,
        ]);
    try {
        let reply: Reply | undefined;
        while (reply === undefined) {
            const event = await nextEvent();
            isHedgePending &&= event.kind !== "hedge-due";
            reply = react(event);
        }
        explainReply(ctx, req, route, service, attempts, reply);
        return { reply, labels };
    }
    finally {
        hedge.cancel();
        end.cancel();
    }
};
