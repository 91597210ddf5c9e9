/** How long after the start of the read that confirmed it a plan, or a list of members, may still be acted on. */
export const PLAN_LIFETIME_MS = 4_000;
