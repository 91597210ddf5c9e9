/** Entries of one event that are written at once, and the rate at which more are allowed, per second. */
const BURST = 40;
const RATE_PER_SECOND = 10;
const SECOND_MS = 1_000;

interface EventBudget {
    tokens: number;
    refilledAt: number;
    leftOut: number;
}

/**
 * Creates the bound on the volume of the log: a token bucket for each event, so that a frequent event never
 * hides a rare one.
 *
 * @param now - reads the steady clock, in milliseconds
 * @returns a function that takes the event's name and returns how many of its entries were left out before
 * this one, or undefined when this one is to be left out too
 */
export const createLogBudget = (now: () => number): (event: string) => number | undefined => {
    const budgets = new Map<string, EventBudget>();
    return event => {
        const at = now();
        const budget = budgets.get(event) ?? { tokens: BURST, refilledAt: at, leftOut: 0 };
        budgets.set(event, budget);
        const earned = (at - budget.refilledAt) / SECOND_MS * RATE_PER_SECOND;
        budget.tokens = Math.min(BURST, budget.tokens + earned);
        budget.refilledAt = at;
        if (budget.tokens < 1) {
            budget.leftOut += 1;
            return undefined;
        }
        budget.tokens -= 1;
        const { leftOut } = budget;
        budget.leftOut = 0;
        return leftOut;
    };
};
