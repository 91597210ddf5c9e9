import { PLAN_LIFETIME_MS } from "./PLAN_LIFETIME_MS.js";
import type { UsableBudgetInput } from "./UsableBudgetInput.js";

/**
 * Returns the amount of a resource that an instance may use now. Its share counts only while the last confirmation
 * of the plan is recent by the monotonic clock of this process, so a process that was paused or partitioned falls
 * back to its floor without being notified.
 *
 * @param input - the budget, the last plan and its confirmation time
 * @returns the amount, in the unit of the resource
 */
export const countUsableBudget = (input: UsableBudgetInput): number => {
    const floor = input.ownsFloor ? input.budget.floor : 0;
    const isCurrent = input.confirmedAtMs !== undefined
        && input.nowMs - input.confirmedAtMs < PLAN_LIFETIME_MS;
    const grant = isCurrent ? input.plan?.grants[input.budget.resource]?.[input.holder] : undefined;
    return floor + (grant?.share ?? 0);
};
