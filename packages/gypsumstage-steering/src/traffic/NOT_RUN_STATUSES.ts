/** Statuses that callers interpret as a promise that the request has not run. */
export const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
