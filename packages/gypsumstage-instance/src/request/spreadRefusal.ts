import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { computeAdmissionRetryAfter } from "@gypsumstage/steering/traffic/computeAdmissionRetryAfter";
import type { Reply } from "./Reply.js";
import type { RequestContext } from "./RequestContext.js";

/** Refusals whose Retry-After is spread or accurate already, and those after which another instance may serve at once. */
const EXCLUDED_REASONS: ReadonlySet<string> = new Set([
    "queue-late",
    "queue-full",
    "leaving",
    "instance-stopping",
    "no-endpoint",
    "ends-endpoints",
    "over-cap",
    "key-unconfirmed",
    "policy-behind",
]);

/**
 * Spreads the return of requests that were refused at a service with admission because its endpoints refuse or pause.
 * Callers come back once: all within a short time would find a service that sheds everything still doing so.
 *
 * @param ctx - provides the admission
 * @param service - the service that was chosen for the request
 * @param reply - the reply to the request
 * @param deadlineAtMs - when the response is due, on the monotonic clock
 * @returns the reply, with a later Retry-After if it is such a refusal
 */
export const spreadRefusal = (
    ctx: Pick<RequestContext, "admission">,
    service: string,
    reply: Reply,
    deadlineAtMs: number,
): Reply => {
    if (reply.kind !== "refused" || EXCLUDED_REASONS.has(reply.reason) || !ctx.admission.isEnabled(service)) {
        return reply;
    }
    const remainingMs = Math.max(0, deadlineAtMs - monotonicNow());
    const spreadMs = computeAdmissionRetryAfter(remainingMs, remainingMs, Math.random());
    return { ...reply, retryAfterMs: Math.max(reply.retryAfterMs, spreadMs) };
};
