import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import type { Budget } from "./Budget.js";

/** Input of `planBudgets`. */
export interface BudgetPlanInput {
    readonly region: string;
    readonly nonce: string;
    readonly plan: BudgetPlan | undefined;
    /** Time for which the writer's own reads have returned this plan unchanged. */
    readonly unchangedForMs: number;
    readonly budgets: readonly Budget[];
    /** Demand of each live holder, by resource; holders that are missing here get no share. */
    readonly demands: Readonly<Record<string, Readonly<Record<string, number>>>>;
}
