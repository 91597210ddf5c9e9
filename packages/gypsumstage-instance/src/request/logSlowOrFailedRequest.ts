import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { AttemptSet } from "./AttemptSet.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";

/**
 * Logs how a request was served, unless an endpoint's response was relayed within the route's target latency.
 *
 * @param ctx - provides the log, the typical latencies and the policy version
 * @param req - the caller's request
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param attempts - the attempts of the request
 * @param reply - the reply to the caller
 */
export const logSlowOrFailedRequest = (
    ctx: RequestContext,
    req: CallerRequest,
    route: Route,
    service: string,
    attempts: AttemptSet,
    reply: Reply,
): void => {
    const tookMs = Math.round(monotonicNow() - req.arrivedAtMs);
    if (reply.kind === "relayed" && tookMs <= route.targetLatencyMs) {
        return;
    }
    ctx.log("info", "request-explained", {
        request: req.id,
        route: route.name,
        service,
        outcome: reply.kind,
        tookMs,
        targetMs: route.targetLatencyMs,
        typicalMs: Math.round(ctx.tracker.typicalMs(service, route.targetLatencyMs)),
        policyVersion: ctx.view().policy?.version,
        placements: attempts.placements(),
    });
};
