/**
 * Returns whether a request of an instance that stops surely ends before the instance has to answer all. Longer requests are left to
 * instances that stay: cut short here, the caller would not learn whether they ran.
 *
 * @param nowMs - current monotonic time
 * @param deadlineAtMs - when the request is answered at the latest, by its deadline
 * @param slowestMs - the slowest recent request of the service, in milliseconds; undefined when none was measured
 * @param answerAtMs - when all requests have to be answered
 * @returns true when the request may be taken
 */
export const endsBefore = (
    nowMs: number,
    deadlineAtMs: number,
    slowestMs: number | undefined,
    answerAtMs: number,
): boolean => Math.min(deadlineAtMs, nowMs + (slowestMs ?? Infinity)) < answerAtMs;
