import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import { createNonce } from "@gypsumstage/shared/createNonce";
import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { registerRepeat } from "@gypsumstage/shared/registerRepeat";
import { holderOf } from "@gypsumstage/steering/holderOf";
import { listBudgets } from "@gypsumstage/steering/listBudgets";
import { listWatchers } from "@gypsumstage/steering/listWatchers";
import { planBudgets } from "@gypsumstage/steering/planBudgets";
import { rendezvous } from "@gypsumstage/steering/rendezvous";
import { collectDemands } from "./collectDemands.js";
import { getPlanKey } from "./getPlanKey.js";
import type { SteerContext } from "./SteerContext.js";

const PERIOD_MS = 1_000;

/**
 * Reads the budget plan of the region again and again while this instance is a watcher of its data centre, and writes the next one when this instance is the
 * preferred writer. Two writers at a time do no harm: the version decides, and the loser reads again.
 *
 * @param context - the process
 * @returns the teardown
 */
export const registerBudgetPlan = (context: SteerContext): () => void => {
    const { platform, store, cfg, log } = context;
    const { region, name, launch } = cfg.instance;
    let seenVersion: number | undefined;
    let unchangedSinceMs = monotonicNow();
    const isWriter = (nowMs: number): boolean => {
        const holders = Object.keys(collectDemands(store.get(), region, nowMs));
        return rendezvous(`plan/${region}`, holders)[0] === holderOf(name, launch);
    };
    const write = async (
        plan: BudgetPlan | undefined,
        version: number | undefined,
        isReverted: boolean,
    ): Promise<void> => {
        const view = store.get();
        const nowMs = monotonicNow();
        if (view.configuration === undefined) {
            return;
        }
        const nonce = createNonce();
        const planned = planBudgets({
            region,
            nonce,
            plan,
            unchangedForMs: nowMs - unchangedSinceMs,
            budgets: listBudgets(view.configuration.intent, region),
            demands: collectDemands(view, region, nowMs),
        });
        // A platform that lost writes gets the later plan back, or nobody could use a share again.
        const restored = isReverted && plan !== undefined
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
    const step = async (): Promise<void> => {
        // The others hear of the plan in the exchange, with its age, so that reads do not grow with the fleet.
        if (!isWatcher(monotonicNow()) && !isWriter(monotonicNow())) {
            return;
        }
        const readAtMs = monotonicNow();
        const read = await platform.read(getPlanKey(region));
        if (!read.ok) {
            return;
        }
        const version = read.value?.version;
        if (version !== seenVersion) {
            seenVersion = version;
            // Counted from the end of the read: the plan was there at that time at the latest.
            unchangedSinceMs = monotonicNow();
        }
        const plan = read.value?.value as BudgetPlan | undefined;
        if (plan !== undefined) {
            store.dispatch({ kind: "plan-read", plan, readAtMs });
        }
        const held = store.get().plan;
        const isReverted = held !== undefined && (plan === undefined || plan.generation < held.generation);
        if (isWriter(monotonicNow())) {
            await write(isReverted ? held : plan, version, isReverted);
        }
    };
    return registerRepeat(
        step,
        () => PERIOD_MS,
        err => log("error", "budget-plan-failed", { reason: describeError(err) }),
    );
};
