import type { BudgetUse } from "./BudgetUse.js";
import { PLAN_LIFETIME_MS } from "./PLAN_LIFETIME_MS.js";

/**
 * Counts what an instance may use of a resource now. The share counts only while the plan was confirmed
 * recently by this process's own clock, so a process that was paused or cut off falls back by itself.
 *
 * @param use - what the instance knows
 * @returns the amount, in the unit of the resource
 */
export const countUsableBudget = (use: BudgetUse): number => {
    const floor = use.ownsFloor ? use.budget.floor : 0;
    const isCurrent = use.confirmedAtMs !== undefined && use.nowMs - use.confirmedAtMs < PLAN_LIFETIME_MS;
    const grant = isCurrent ? use.plan?.grants[use.budget.resource]?.[use.holder] : undefined;
    return floor + (grant?.share ?? 0);
};
