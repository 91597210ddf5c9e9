import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import type { Budget } from "./Budget.js";
import { divideFairly } from "./divideFairly.js";
import { LAPSE_WAIT_MS } from "./LAPSE_WAIT_MS.js";
import type { PlanRequest } from "./PlanRequest.js";

const CHANGE_WORTH_WRITING = 0.1;

type Grants = BudgetPlan["grants"][string];

const planResource = (budget: Budget, old: Grants, req: PlanRequest): Grants => {
    const hasLapsed = req.unchangedForMs > LAPSE_WAIT_MS;
    const holders = Object.keys(req.demands);
    const wanted = holders.map(holder =>
        Math.max(0, (req.demands[holder]?.[budget.resource] ?? 0) - budget.floor)
    );
    const targets = divideFairly(budget.pool, wanted);
    const names = new Set([...Object.keys(old), ...holders]);
    const heldOf = (name: string): number => {
        const grant = old[name];
        return grant === undefined ? 0 : hasLapsed ? grant.share : Math.max(grant.share, grant.held);
    };
    let available = budget.pool - [...names].reduce((sum, name) => sum + heldOf(name), 0);
    const grants: Record<string, { readonly share: number; readonly held: number; }> = {};
    for (const name of names) {
        const held = heldOf(name);
        const target = targets[holders.indexOf(name)] ?? 0;
        const growth = Math.max(0, Math.min(target - held, available));
        const share = Math.min(target, held + growth);
        const whole = budget.isWhole ? Math.floor(share) : share;
        available -= Math.max(0, whole - held);
        if (whole > 0 || held > 0) {
            grants[name] = { share: whole, held };
        }
    }
    return grants;
};

const isWorthWriting = (budget: Budget, old: Grants, next: Grants): boolean =>
    [...new Set([...Object.keys(old), ...Object.keys(next)])].some(name => {
        const change = Math.abs((next[name]?.share ?? 0) - (old[name]?.share ?? 0));
        const isHeldHigher = (old[name]?.held ?? 0) > (old[name]?.share ?? 0)
            && (next[name]?.held ?? 0) < (old[name]?.held ?? 0);
        return isHeldHigher || (change > 0 && change >= CHANGE_WORTH_WRITING * budget.pool);
    });

/**
 * Makes the next plan of a region. For every resource the sum over all holders of the larger of `share` and
 * `held` stays within the pool; `held` falls to `share` only when the writer has itself seen the plan
 * unchanged for longer than any holder may act on an earlier one.
 *
 * @param req - what the writer knows
 * @returns the plan to write, or undefined when a new one would change little
 */
export const planBudgets = (req: PlanRequest): BudgetPlan | undefined => {
    const grants: Record<string, Grants> = {};
    let isNeeded = false;
    for (const budget of req.budgets) {
        const old = req.plan?.grants[budget.resource] ?? {};
        const next = planResource(budget, old, req);
        grants[budget.resource] = next;
        isNeeded ||= isWorthWriting(budget, old, next);
    }
    return isNeeded
        ? { region: req.region, generation: (req.plan?.generation ?? 0) + 1, nonce: req.nonce, grants }
        : undefined;
};
