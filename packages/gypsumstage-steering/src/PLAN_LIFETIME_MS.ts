/** Time for which a plan or a list of members is valid, from the start of the read that last confirmed it. */
export const PLAN_LIFETIME_MS = 4_000;
