import type { Budget } from "@gypsumstage/steering/Budget";

/** Computes how much of the budgets of its region this instance may use now. */
export interface BudgetTracker {
    /** Returns the usable amount of a resource, or undefined when no cap is declared for it. */
    readonly getUsable: (resource: string) => number | undefined;
    /** Returns all budgets of the region. */
    readonly list: () => readonly Budget[];
}
