import type { Intent } from "@gypsumstage/domain/Intent";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import type { Budget } from "@gypsumstage/steering/Budget";
import { countUsableBudget } from "@gypsumstage/steering/countUsableBudget";
import { holderOf } from "@gypsumstage/steering/holderOf";
import { listBudgets } from "@gypsumstage/steering/listBudgets";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import type { BudgetKeeper } from "./BudgetKeeper.js";

const SETTLE_MS = 10_000;

interface Declared {
    readonly intent: Intent | undefined;
    readonly budgets: ReadonlyMap<string, Budget>;
    readonly previous: ReadonlyMap<string, Budget>;
    readonly changedAtMs: number;
}

/**
 * Creates the keeper of budgets. For a while after a change of the intent the lower floor of the old and the new
 * intent counts, because other instances may still act on the old one.
 *
 * @param cfg - settings of the instance
 * @param view - what the process knows
 * @param isOwner - whether this launch owns its place
 * @returns the keeper
 */
export const createBudgetKeeper = (
    cfg: InstanceSettings,
    view: Store<SteeringView, ViewEvent>,
    isOwner: () => boolean,
): BudgetKeeper => {
    let declared: Declared = { intent: undefined, budgets: new Map(), previous: new Map(), changedAtMs: 0 };
    const refresh = (): Declared => {
        const intent = view.get().configuration?.intent;
        if (intent !== undefined && intent !== declared.intent) {
            const budgets = new Map(
                listBudgets(intent, cfg.instance.region).map(budget => [budget.resource, budget]),
            );
            declared = { intent, budgets, previous: declared.budgets, changedAtMs: monotonicNow() };
        }
        return declared;
    };
    const lowerFloor = (budget: Budget, known: Declared, nowMs: number): Budget => {
        const before = known.previous.get(budget.resource);
        const isSettled = before === undefined || nowMs - known.changedAtMs > SETTLE_MS;
        return isSettled ? budget : { ...budget, floor: Math.min(before.floor, budget.floor) };
    };
    return {
        list: () => [...refresh().budgets.values()],
        usable: resource => {
            const known = refresh();
            const budget = known.budgets.get(resource);
            if (budget === undefined) {
                return undefined;
            }
            const { plan, planConfirmedAtMs } = view.get();
            const nowMs = monotonicNow();
            return countUsableBudget({
                budget: lowerFloor(budget, known, nowMs),
                plan,
                confirmedAtMs: planConfirmedAtMs,
                holder: holderOf(cfg.instance.name, cfg.instance.launch),
                ownsFloor: isOwner(),
                nowMs,
            });
        },
    };
};
