import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { isSafeKind } from "@gypsumstage/steering/traffic/isSafeKind";
import type { AttemptSet } from "./AttemptSet.js";
import { createServeEventHandler } from "./createServeEventHandler.js";
import { createTimer } from "./createTimer.js";
import { LATE_RESPONSE_GRACE_MS } from "./LATE_RESPONSE_GRACE_MS.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";
import type { ServeEvent } from "./ServeEvent.js";

/**
 * A safe request without a response is hedged after HEDGE_TARGET_SHARE of the target latency of the route, or
 * after HEDGE_TYPICAL_FACTOR times the typical latency of the service, whichever is later.
 */
const HEDGE_TARGET_SHARE = 0.8;
const HEDGE_TYPICAL_FACTOR = 3;

/**
 * Waits for the reply to a request whose first attempt has been started; retries or hedges it where that is allowed.
 *
 * @param ctx - provides the typical latencies, the retry budget and the stop schedule
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param attempts - the attempts of the request
 * @param deadlineAtMs - when the response is due, on the monotonic clock
 * @param callerDisconnect - resolves when the caller has closed its connection
 * @returns the reply
 */
export const awaitReply = async (
    ctx: Pick<RequestContext, "tracker" | "retryBudget" | "stopSchedule">,
    route: Route,
    service: string,
    attempts: AttemptSet,
    deadlineAtMs: number,
    callerDisconnect: Promise<void>,
): Promise<Reply> => {
    const typicalMs = ctx.tracker.typicalMs(service, route.targetLatencyMs);
    const hedgeAfterMs = Math.max(
        HEDGE_TARGET_SHARE * route.targetLatencyMs,
        HEDGE_TYPICAL_FACTOR * typicalMs,
    );
    const hedgeTimer = createTimer<ServeEvent>(hedgeAfterMs, { kind: "hedge-due" });
    const deadlineTimer = createTimer<ServeEvent>(deadlineAtMs + LATE_RESPONSE_GRACE_MS - monotonicNow(), {
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
        return reply;
    }
    finally {
        unregisterStop();
        hedgeTimer.cancel();
        deadlineTimer.cancel();
    }
};
