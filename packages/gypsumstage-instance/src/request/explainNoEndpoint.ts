import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { AttemptStart } from "./AttemptStart.js";
import type { RequestContext } from "./RequestContext.js";

const MIN_RETRY_AFTER_MS = 100;

/**
 * Explains why a request has no candidate endpoint: endpoints that deny permits or pause can take it later, others cannot.
 *
 * @param ctx - provides the view, the permits and the health of endpoints
 * @param service - the service that was chosen for the request
 * @param tried - identifiers of endpoints at which the request was already attempted
 * @returns `rate-limited` with the shortest wait, or `no-endpoint`
 */
export const explainNoEndpoint = (
    ctx: Pick<RequestContext, "view" | "permits" | "tracker">,
    service: string,
    tried: ReadonlySet<string>,
): AttemptStart => {
    const nowMs = monotonicNow();
    const waitsMs = (ctx.view().endpointsByService.get(service) ?? [])
        .filter(endpoint => !tried.has(endpoint.id))
        .map(endpoint =>
            Math.max(
                ctx.permits.deniedForMs(endpoint),
                ctx.tracker.health(endpoint.id).pausedUntilMs - nowMs,
            )
        )
        .filter(waitMs => waitMs > 0);
    return waitsMs.length === 0
        ? { kind: "no-endpoint" }
        : { kind: "rate-limited", retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.min(...waitsMs)) };
};
