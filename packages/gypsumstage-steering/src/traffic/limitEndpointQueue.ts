import type { AdmissionRequest } from "./AdmissionRequest.js";
import type { AdmissionRule } from "./AdmissionRule.js";
import { computeAgedPriority } from "./computeAgedPriority.js";

/**
 * Requests per slot that an endpoint may have in flight before a request waits in the instance. A short queue keeps the
 * slots busy while the figures of other instances are on their way.
 */
const URGENT_QUEUE_FACTOR = 2;
const LESS_URGENT_QUEUE_FACTOR = 1.5;
/**
 * Late work takes free slots only, so that work that can still be on time does not queue behind it. Where the service is so slow
 * that new requests cannot be on time either, there is none to give way to.
 */
const LATE_QUEUE_FACTOR = 1;

/**
 * Limits how far a request queues at an endpoint with warm data, whose queue is first come first served. Workload: kinds
 * of requests of different urgency that share a service; what less urgent ones queue at endpoints delays urgent ones.
 *
 * @param rule - the rule of the service
 * @param request - the request
 * @param workMs - typical time of a request of the service
 * @param nowMs - current monotonic time
 * @returns the requests per slot that the endpoint may have in flight
 */
export const limitEndpointQueue = (
    rule: AdmissionRule,
    request: AdmissionRequest,
    workMs: number,
    nowMs: number,
): number => {
    const couldBeOnTime = request.arrivedAtMs + workMs <= request.targetAtMs;
    if (couldBeOnTime && nowMs + workMs > request.targetAtMs) {
        return LATE_QUEUE_FACTOR;
    }
    return computeAgedPriority(request, rule, nowMs) <= rule.mostUrgent
        ? URGENT_QUEUE_FACTOR
        : LESS_URGENT_QUEUE_FACTOR;
};
