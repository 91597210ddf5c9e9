import type { Budget } from "@gypsumstage/steering/Budget";

/** Tells what this instance may use of the budgets of its region now. */
export interface BudgetTracker {
    /** Amount of a resource; undefined when no cap is declared for it. */
    readonly getUsable: (resource: string) => number | undefined;
    /** All budgets of the region. */
    readonly list: () => readonly Budget[];
}
