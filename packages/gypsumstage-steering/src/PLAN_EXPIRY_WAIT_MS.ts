import { CLOCK_RATE_MARGIN_FACTOR } from "./CLOCK_RATE_MARGIN_FACTOR.js";
import { PLAN_LIFETIME_MS } from "./PLAN_LIFETIME_MS.js";

/**
 * Time after which no other process acts on an earlier plan any more. Longer than the lifetime of a plan, because
 * the clocks of two instances may run at slightly different rates.
 */
export const PLAN_EXPIRY_WAIT_MS = PLAN_LIFETIME_MS * CLOCK_RATE_MARGIN_FACTOR;
