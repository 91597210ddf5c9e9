import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import type { Budget } from "./Budget.js";
import type { BudgetPlanInput } from "./BudgetPlanInput.js";
import { divideFairly } from "./divideFairly.js";
import { PLAN_EXPIRY_WAIT_MS } from "./PLAN_EXPIRY_WAIT_MS.js";

const MIN_CHANGE_FRACTION = 0.1;

type Grants = BudgetPlan["grants"][string];

const planGrants = (budget: Budget, previous: Grants, input: BudgetPlanInput): Grants => {
    const haveEarlierPlansExpired = input.unchangedForMs > PLAN_EXPIRY_WAIT_MS;
    const holders = Object.keys(input.demands);
    const excessDemands = holders.map(holder =>
        Math.max(0, (input.demands[holder]?.[budget.resource] ?? 0) - budget.floor)
    );
    const targets = divideFairly(budget.pool, excessDemands);
    const names = new Set([...Object.keys(previous), ...holders]);
    const getHeld = (name: string): number => {
        const grant = previous[name];
        return grant === undefined
            ? 0
            : haveEarlierPlansExpired
            ? grant.share
            : Math.max(grant.share, grant.held);
    };
    let available = budget.pool - [...names].reduce((sum, name) => sum + getHeld(name), 0);
    const grants: Record<string, { readonly share: number; readonly held: number; }> = {};
    for (const name of names) {
        const held = getHeld(name);
        const target = targets[holders.indexOf(name)] ?? 0;
        const growth = Math.max(0, Math.min(target - held, available));
        const share = Math.min(target, held + growth);
        const grantedShare = budget.isIntegral ? Math.floor(share) : share;
        available -= Math.max(0, grantedShare - held);
        if (grantedShare > 0 || held > 0) {
            grants[name] = { share: grantedShare, held };
        }
    }
    return grants;
};

const isWriteNeeded = (budget: Budget, previous: Grants, next: Grants): boolean =>
    [...new Set([...Object.keys(previous), ...Object.keys(next)])].some(name => {
        const change = Math.abs((next[name]?.share ?? 0) - (previous[name]?.share ?? 0));
        const canLowerHeld = (previous[name]?.held ?? 0) > (previous[name]?.share ?? 0)
            && (next[name]?.held ?? 0) < (previous[name]?.held ?? 0);
        return canLowerHeld || (change > 0 && change >= MIN_CHANGE_FRACTION * budget.pool);
    });

/**
 * Computes the next budget plan of a region. For each resource, the sum of max(`share`, `held`) over all holders
 * stays within the pool. `held` is the amount that a holder may still use under an earlier plan; it is lowered to
 * `share` only when the writer itself has read the plan unchanged for longer than any holder may act on an earlier
 * one.
 *
 * @param input - the last plan, the budgets and the demands
 * @returns the plan to write, or undefined when it would differ too little from the last one
 */
export const planBudgets = (input: BudgetPlanInput): BudgetPlan | undefined => {
    const grants: Record<string, Grants> = {};
    let hasChanged = false;
    for (const budget of input.budgets) {
        const previous = input.plan?.grants[budget.resource] ?? {};
        const next = planGrants(budget, previous, input);
        grants[budget.resource] = next;
        hasChanged ||= isWriteNeeded(budget, previous, next);
    }
    return hasChanged
        ? { region: input.region, generation: (input.plan?.generation ?? 0) + 1, nonce: input.nonce, grants }
        : undefined;
};
