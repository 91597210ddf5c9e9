import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { AttemptBudget } from "./AttemptBudget.js";

/**
 * Decides whether a failed attempt may be retried on another endpoint. After an attempt that may have run, only
 * idempotent classes are retried.
 *
 * @param cls - class of the request
 * @param attempt - outcome of the failed attempt; `unknown` when it may have run
 * @param isBodyUntouched - whether no byte of the request body was read from the caller
 * @param budget - the budget for retries
 * @returns whether a retry is allowed
 */
export const isRetryAllowed = (
    cls: RequestClass,
    attempt: "not-sent" | "refused" | "unknown",
    isBodyUntouched: boolean,
    budget: AttemptBudget,
): boolean => isBodyUntouched && budget.retryTokens >= 1 && (attempt !== "unknown" || cls.isIdempotent);
