import type { AttemptBudget } from "./AttemptBudget.js";

const TOKENS_PER_REQUEST = 0.09;
const MAX_TOKENS = 20;

/**
 * The update function of the attempt budget. Each first attempt earns part of a token and each further one
 * takes a token, so that attempts stay below 1.1 times the requests also when every endpoint fails.
 *
 * @param budget - the budget so far
 * @param event - a first attempt, or a retry or hedge that was allowed
 * @returns the next budget
 */
export const updateAttemptBudget = (
    budget: AttemptBudget,
    event: "first-attempt" | "extra-attempt",
): AttemptBudget =>
    event === "first-attempt"
        ? { tokens: Math.min(MAX_TOKENS, budget.tokens + TOKENS_PER_REQUEST) }
        : { tokens: budget.tokens - 1 };
