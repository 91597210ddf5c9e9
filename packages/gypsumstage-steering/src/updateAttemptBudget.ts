import type { AttemptBudget } from "./AttemptBudget.js";

const TOKENS_PER_REQUEST = 0.045;
const MAX_TOKENS = 10;

/**
 * The update function of the attempt budget. Each first attempt earns parts of a token, and each retry or hedge takes a
 * whole one of its kind: so neither adds more than 4.5 % to the load, and all attempts stay below 1.1 times the requests
 * also when every endpoint fails.
 *
 * @param budget - the budget so far
 * @param event - what was begun
 * @returns the next budget
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
