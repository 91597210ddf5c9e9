import type { PlanAge } from "./PlanAge.js";

/**
 * Applies a read of a budget plan to what is known of its age. The version alone does not tell two plans apart: a platform that
 * was restored from a copy gives versions out again.
 *
 * @param age - the plan that was read before, and since when it has been unchanged
 * @param read - version and nonce of the plan that was read; undefined when there is none
 * @param nowMs - monotonic time of the end of the read; the plan was stored by then at the latest
 * @returns the same object when the plan is unchanged
 */
export const updatePlanAge = (
    age: PlanAge,
    read: { readonly version: number; readonly nonce: string; } | undefined,
    nowMs: number,
): PlanAge =>
    age.version === read?.version && age.nonce === read?.nonce
        ? age
        : { version: read?.version, nonce: read?.nonce, unchangedSinceMs: nowMs };
