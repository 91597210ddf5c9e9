import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import { createUniqueId } from "@gypsumstage/shared/createUniqueId";
import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import { getHolderName } from "@gypsumstage/steering/getHolderName";
import { listBudgets } from "@gypsumstage/steering/listBudgets";
import { listWatchers } from "@gypsumstage/steering/listWatchers";
import type { PlanAge } from "@gypsumstage/steering/PlanAge";
import { planBudgets } from "@gypsumstage/steering/planBudgets";
import { rankByRendezvousHash } from "@gypsumstage/steering/rankByRendezvousHash";
import { updatePlanAge } from "@gypsumstage/steering/updatePlanAge";
import { collectDemands } from "./collectDemands.js";
import { getPlanKey } from "./getPlanKey.js";
import type { SteerContext } from "./SteerContext.js";

const PLAN_INTERVAL_MS = 1_000;

/**
 * Reads the region's budget plan periodically while this instance is a watcher of its data centre or the preferred
 * writer (chosen by rendezvous hashing), and writes the next plan while it is the preferred writer. Two concurrent
 * writers do no harm: the write is conditional on the version, and the writer that fails reads the plan again.
 *
 * @param context - the platform that stores the plan, the view that receives it, and the settings
 * @returns a function that stops the updates of the plan
 */
export const registerBudgetPlan = (context: SteerContext): () => void => {
    const { platform, store, cfg, log } = context;
    const { region, name, launch } = cfg.instance;
    let age: PlanAge = { version: undefined, nonce: undefined, unchangedSinceMs: monotonicNow() };
    const isWriter = (nowMs: number): boolean => {
        const holders = Object.keys(collectDemands(store.get(), region, nowMs));
        return rankByRendezvousHash(`plan/${region}`, holders)[0] === getHolderName(name, launch);
    };
    const writePlan = async (
        plan: BudgetPlan | undefined,
        version: number | undefined,
        isRegression: boolean,
    ): Promise<void> => {
        const view = store.get();
        const nowMs = monotonicNow();
        if (view.configuration === undefined) {
            return;
        }
        const nonce = createUniqueId();
        const planned = planBudgets({
            region,
            nonce,
            plan,
            unchangedForMs: nowMs - age.unchangedSinceMs,
            budgets: listBudgets(view.configuration.intent, region),
            demands: collectDemands(view, region, nowMs),
        });
        // When the platform has lost writes, the newer plan is written back; otherwise no instance could use its share
        // again.
        const restored = isRegression && plan !== undefined
            ? { ...plan, generation: plan.generation + 1, nonce }
            : undefined;
        const next = planned ?? restored;
        if (next === undefined) {
            return;
        }
        const condition = version === undefined
            ? { kind: "absent" } as const
            : { kind: "version", version } as const;
        const written = await platform.write(getPlanKey(region), next, condition);
        log(written.ok ? "info" : "warn", "budget-plan-written", {
            generation: next.generation,
            isWritten: written.ok,
        });
    };
    const isWatcher = (nowMs: number): boolean =>
        listWatchers(store.get(), cfg.instance, nowMs).includes(name);
    const updatePlan = async (): Promise<void> => {
        // Other instances receive the plan and its age in the exchange, so that the number of reads does not grow with
        // the number of instances.
        if (!isWatcher(monotonicNow()) && !isWriter(monotonicNow())) {
            return;
        }
        const readAtMs = monotonicNow();
        const read = await platform.read(getPlanKey(region));
        if (!read.ok) {
            return;
        }
        const version = read.value?.version;
        const plan = read.value?.value as BudgetPlan | undefined;
        const readPlan = version === undefined || plan === undefined
            ? undefined
            : { version, nonce: plan.nonce };
        age = updatePlanAge(age, readPlan, monotonicNow());
        if (plan !== undefined) {
            store.dispatch({ kind: "plan-read", plan, readAtMs });
        }
        const localPlan = store.get().plan;
        const isRegression = localPlan !== undefined
            && (plan === undefined || plan.generation < localPlan.generation);
        if (isWriter(monotonicNow())) {
            await writePlan(isRegression ? localPlan : plan, version, isRegression);
        }
    };
    return startPeriodicTask(
        updatePlan,
        () => PLAN_INTERVAL_MS,
        err => log("error", "budget-plan-failed", { reason: describeError(err) }),
    );
};
