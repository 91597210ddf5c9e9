import type { AttemptBudget } from "./AttemptBudget.js";

const TOKENS_PER_REQUEST = 0.045;
const MAX_TOKENS = 10;

/**
 * Updates the attempt budget. Each first attempt adds a fraction of a token of both kinds, and each retry or hedge
 * takes one token of its kind. So over time neither kind adds more than 4.5 % to the load, and all attempts together
 * stay below 1.1 times the requests even when every endpoint fails. At most `MAX_TOKENS` unused tokens of a kind are
 * kept for later.
 *
 * @param budget - the budget before the event
 * @param event - the kind of attempt that starts
 * @returns the budget after the event
 */
export const updateAttemptBudget = (
    budget: AttemptBudget,
    event: "first-attempt" | "retry" | "hedge",
): AttemptBudget => {
    switch (event) {
        case "first-attempt":
            return {
                retryTokens: Math.min(MAX_TOKENS, budget.retryTokens + TOKENS_PER_REQUEST),
                hedgeTokens: Math.min(MAX_TOKENS, budget.hedgeTokens + TOKENS_PER_REQUEST),
            };
        case "retry":
            return { ...budget, retryTokens: budget.retryTokens - 1 };
        case "hedge":
            return { ...budget, hedgeTokens: budget.hedgeTokens - 1 };
    }
};
