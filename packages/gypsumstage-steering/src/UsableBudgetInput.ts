import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import type { Budget } from "./Budget.js";

/** Input of `countUsableBudget`. */
export interface UsableBudgetInput {
    readonly budget: Budget;
    readonly plan: BudgetPlan | undefined;
    /** Start of the read that last confirmed the plan, on the monotonic clock of this process. */
    readonly confirmedAtMs: number | undefined;
    /** Key of this instance in the grants of a plan. */
    readonly holder: string;
    /** Whether this instance owns a declared place and so may use its floor. */
    readonly ownsFloor: boolean;
    readonly nowMs: number;
}
