import type { AdmissionRequest } from "./AdmissionRequest.js";

/** Share of its time after which a waiting request counts as more urgent by one, so that none is starved. */
const AGEING_SHARE = 0.5;

/**
 * Computes the priority of a waiting request, which becomes more urgent with the share of its time that has passed.
 *
 * @param request - the waiting request
 * @param nowMs - current monotonic time
 * @returns the priority; it may be below 0
 */
export const computeAgedPriority = (request: AdmissionRequest, nowMs: number): number => {
    const allowedMs = Math.max(1, request.deadlineAtMs - request.arrivedAtMs);
    const usedShare = Math.max(0, nowMs - request.arrivedAtMs) / allowedMs;
    return request.priority - Math.floor(usedShare / AGEING_SHARE);
};
