import type { Route } from "@gypsumstage/domain/traffic/Route";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { AttemptSet } from "./AttemptSet.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";

/**
 * Logs how a request came to its reply, unless an endpoint answered within the route's target.
 *
 * @param ctx - what serving needs
 * @param req - the request
 * @param route - its route
 * @param service - the service that ran it
 * @param attempts - the attempts made
 * @param reply - what the caller gets
 */
export const explainReply = (
    ctx: RequestContext,
    req: CallerRequest,
    route: Route,
    service: string,
    attempts: AttemptSet,
    reply: Reply,
): void => {
    const tookMs = Math.round(monotonicNow() - req.arrivedAt);
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
        placements: attempts.history(),
    });
};
