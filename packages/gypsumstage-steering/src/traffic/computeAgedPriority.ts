import type { AdmissionRequest } from "./AdmissionRequest.js";
import type { AdmissionRule } from "./AdmissionRule.js";

/** Share of its time after which a waiting request counts as more urgent by one, so that none is starved. */
const AGEING_SHARE = 0.5;

/**
 * Computes the priority of a waiting request, which becomes more urgent with the share of its time that has passed.
 *
 * @param request - the waiting request
 * @param rule - the rule of the service; none becomes more urgent than its most urgent requests
 * @param nowMs - current monotonic time
 * @returns the priority
 */
export const computeAgedPriority = (
    request: AdmissionRequest,
    rule: AdmissionRule,
    nowMs: number,
): number => {
    const allowedMs = Math.max(1, request.deadlineAtMs - request.arrivedAtMs);
    const usedShare = Math.max(0, nowMs - request.arrivedAtMs) / allowedMs;
    return Math.max(rule.mostUrgent, request.priority - Math.floor(usedShare / AGEING_SHARE));
};
