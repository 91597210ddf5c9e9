import type { AdmissionDecision } from "./AdmissionDecision.js";
import type { AdmissionRequest } from "./AdmissionRequest.js";
import { computeAdmissionRetryAfter } from "./computeAdmissionRetryAfter.js";

/** Requests that are tried at a time: those behind the first may have other candidate endpoints, which have free slots. */
const MAX_TRIES = 32;
const MAX_WAITING = 200;
/** Starts per second that are assumed at least, as at the start of an instance or while the service refuses all. */
const MIN_STARTS_PER_SECOND = 5;
const MS_PER_SECOND = 1_000;

/** What a decision depends on beside the request. */
interface AdmissionState {
    /** Waiting requests that precede this one. */
    readonly ahead: number;
    /** Recent starts of requests of the service by this instance. */
    readonly startsPerSecond: number;
    /** Typical time of a request of the service. */
    readonly workMs: number;
    readonly nowMs: number;
    /** Uniform in 0 to 1. */
    readonly random: number;
}

/**
 * Decides whether a request may take a free slot now, waits, or is refused. Workload: more requests than slots. It is
 * refused as soon as a response before its deadline is not to be expected, not when it can only be late.
 *
 * @param request - the request
 * @param state - the queue before it and the rate at which that empties
 * @returns the decision
 */
export const decideAdmission = (request: AdmissionRequest, state: AdmissionState): AdmissionDecision => {
    const { ahead, startsPerSecond, workMs, nowMs, random } = state;
    const remainingMs = request.deadlineAtMs - nowMs;
    const waitMs = ahead / Math.max(MIN_STARTS_PER_SECOND, startsPerSecond) * MS_PER_SECOND;
    const retryAfterMs = computeAdmissionRetryAfter(Math.max(0, remainingMs), waitMs, random);
    if (waitMs + workMs > remainingMs) {
        return { kind: "refuse", reason: "queue-late", retryAfterMs };
    }
    if (ahead >= MAX_WAITING) {
        return { kind: "refuse", reason: "queue-full", retryAfterMs };
    }
    return ahead < MAX_TRIES ? { kind: "place" } : { kind: "wait" };
};
