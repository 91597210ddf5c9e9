import type { AdmissionRequest } from "./AdmissionRequest.js";
import type { AdmissionRule } from "./AdmissionRule.js";
import { computeAgedPriority } from "./computeAgedPriority.js";

/** Requests per slot that an endpoint may have in flight before a request waits in the instance. */
const URGENT_QUEUE_FACTOR = 2;
const LESS_URGENT_QUEUE_FACTOR = 1;

/**
 * Limits how far a request queues at an endpoint with warm data, whose queue is first come first served. Workload: kinds
 * of requests of different urgency that share a service; what less urgent ones queue at endpoints delays urgent ones.
 *
 * @param rule - the rule of the service; undefined when it has no admission
 * @param request - the request
 * @param nowMs - current monotonic time
 * @returns the requests per slot that the endpoint may have in flight; undefined for the usual limit
 */
export const limitEndpointQueue = (
    rule: AdmissionRule | undefined,
    request: AdmissionRequest,
    nowMs: number,
): number | undefined => {
    if (rule === undefined) {
        return undefined;
    }
    return computeAgedPriority(request, nowMs) <= rule.mostUrgent
        ? URGENT_QUEUE_FACTOR
        : LESS_URGENT_QUEUE_FACTOR;
};
