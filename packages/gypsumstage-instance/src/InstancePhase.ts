/**
 * Lifecycle phase of an instance. `leaving`: no longer ready, but requests are still served; `refusing`: new
 * requests are refused and those in flight are completed.
 */
export type InstancePhase = "serving" | "leaving" | "refusing";
