import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import type { Budget } from "./Budget.js";

/** What the writer of a plan knows. */
export interface PlanRequest {
    readonly region: string;
    readonly nonce: string;
    readonly plan: BudgetPlan | undefined;
    /** How long the writer itself has seen this plan unchanged. */
    readonly unchangedForMs: number;
    readonly budgets: readonly Budget[];
    /** What each live holder wants, by resource; only holders named here get a share. */
    readonly demands: Readonly<Record<string, Readonly<Record<string, number>>>>;
}
