import { PLAN_LIFETIME_MS } from "./PLAN_LIFETIME_MS.js";

const CLOCK_RATE_MARGIN = 1.05;

/**
 * How long a process waits until every other process has stopped to act on an earlier plan. Longer than the
 * lifetime, because the clocks of two machines may run at slightly different rates.
 */
export const LAPSE_WAIT_MS = PLAN_LIFETIME_MS * CLOCK_RATE_MARGIN;
