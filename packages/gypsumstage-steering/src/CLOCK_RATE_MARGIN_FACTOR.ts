/** Factor by which a process waits longer than a lifetime that another one keeps, as clocks run at different rates. */
export const CLOCK_RATE_MARGIN_FACTOR = 1.05;
