import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { AttemptBudget } from "./AttemptBudget.js";

/**
 * Decides whether a failed attempt may be followed by another.
 *
 * @param cls - class of the request
 * @param attempt - what is known of the failed attempt
 * @param isBodyUntouched - whether no byte of the request's body has been taken from the caller
 * @param budget - the budget for further attempts
 * @returns whether another endpoint may be tried
 */
export const isRetryAllowed = (
    cls: RequestClass,
    attempt: "not-sent" | "refused" | "unknown",
    isBodyUntouched: boolean,
    budget: AttemptBudget,
): boolean => isBodyUntouched && budget.retryTokens >= 1 && (attempt !== "unknown" || cls.isIdempotent);
