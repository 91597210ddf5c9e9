import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import type { Budget } from "./Budget.js";

/** What an instance knows when it uses a budget. */
export interface BudgetUse {
    readonly budget: Budget;
    readonly plan: BudgetPlan | undefined;
    /** Start of the read that last confirmed the plan, on the clock of this process. */
    readonly confirmedAtMs: number | undefined;
    /** Name of this instance in plans. */
    readonly holder: string;
    /** Whether this instance is the one occupant of a declared place. */
    readonly ownsFloor: boolean;
    readonly nowMs: number;
}
