/** Callers wait at most this share of the time that they have left, and then come back once. */
const CALLER_WAIT_SHARE = 1 / 3;
const MIN_RETRY_AFTER_MS = 100;

/**
 * Computes the Retry-After of a refused request. Workload: many requests refused within a short time, which would
 * otherwise return together.
 *
 * @param remainingMs - time until the caller's deadline
 * @param expectedWaitMs - expected time until a request refused now could start
 * @param random - uniform in 0 to 1
 * @returns a time from half of the wait that the caller is expected to honour up to the whole
 */
export const computeAdmissionRetryAfter = (
    remainingMs: number,
    expectedWaitMs: number,
    random: number,
): number => {
    const latestMs = Math.max(MIN_RETRY_AFTER_MS, remainingMs * CALLER_WAIT_SHARE);
    const earliestMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(expectedWaitMs, latestMs) / 2);
    return earliestMs + (latestMs - earliestMs) * random;
};
