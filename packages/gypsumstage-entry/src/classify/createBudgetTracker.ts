import type { Intent } from "@gypsumstage/domain/Intent";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import type { Budget } from "@gypsumstage/steering/Budget";
import { countUsableBudget } from "@gypsumstage/steering/countUsableBudget";
import { getHolderName } from "@gypsumstage/steering/getHolderName";
import { listBudgets } from "@gypsumstage/steering/listBudgets";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import type { BudgetTracker } from "./BudgetTracker.js";

const INTENT_PROPAGATION_MS = 10_000;

interface DeclaredBudgets {
    readonly intent: Intent | undefined;
    readonly budgets: ReadonlyMap<string, Budget>;
    readonly previous: ReadonlyMap<string, Budget>;
    readonly changedAtMs: number;
}

/**
 * Creates the budget tracker. For some time after a change of the intent the lower of the old and the new floor
 * applies, because other instances may still act on the old intent.
 *
 * @param cfg - settings of the instance
 * @param view - the steering view of the process
 * @param isOwner - returns whether this launch owns its place, and with it the floors of the place
 * @returns the tracker
 */
export const createBudgetTracker = (
    cfg: InstanceSettings,
    view: Store<SteeringView, ViewEvent>,
    isOwner: () => boolean,
): BudgetTracker => {
    let declared: DeclaredBudgets = {
        intent: undefined,
        budgets: new Map(),
        previous: new Map(),
        changedAtMs: 0,
    };
    const refresh = (): DeclaredBudgets => {
        const intent = view.get().configuration?.intent;
        if (intent !== undefined && intent !== declared.intent) {
            const budgets = new Map(
                listBudgets(intent, cfg.instance.region).map(budget => [budget.resource, budget]),
            );
            declared = { intent, budgets, previous: declared.budgets, changedAtMs: monotonicNow() };
        }
        return declared;
    };
    const applyLowerFloor = (budget: Budget, current: DeclaredBudgets, nowMs: number): Budget => {
        const previousBudget = current.previous.get(budget.resource);
        const isPropagated = previousBudget === undefined
            || nowMs - current.changedAtMs > INTENT_PROPAGATION_MS;
        return isPropagated ? budget : { ...budget, floor: Math.min(previousBudget.floor, budget.floor) };
    };
    return {
        list: () => [...refresh().budgets.values()],
        getUsable: resource => {
            const current = refresh();
            const budget = current.budgets.get(resource);
            if (budget === undefined) {
                return undefined;
            }
            const { plan, planConfirmedAtMs } = view.get();
            const nowMs = monotonicNow();
            return countUsableBudget({
                budget: applyLowerFloor(budget, current, nowMs),
                plan,
                confirmedAtMs: planConfirmedAtMs,
                holder: getHolderName(cfg.instance.name, cfg.instance.launch),
                ownsFloor: isOwner(),
                nowMs,
            });
        },
    };
};
