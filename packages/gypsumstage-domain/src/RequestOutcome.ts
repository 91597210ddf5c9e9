/** Outcome of a request as reported to its caller: it ran, it did not run, or either is possible. */
export type RequestOutcome = "served" | "not-run" | "unknown";
