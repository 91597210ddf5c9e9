/** What a caller is told of its request: it ran, it certainly did not run, or nobody can tell. */
export type Outcome = "served" | "not-run" | "unknown";
