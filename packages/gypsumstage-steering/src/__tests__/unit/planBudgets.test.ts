import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Budget } from "../../Budget.js";
import { countUsableBudget } from "../../countUsableBudget.js";
import { PLAN_EXPIRY_WAIT_MS } from "../../PLAN_EXPIRY_WAIT_MS.js";
import { planBudgets } from "../../planBudgets.js";

const HOLDERS = ["a.l1", "b.l1", "c.l1"];
const FLOOR = 10;
const CAP = 100;
const budget: Budget = {
    resource: "link:x>y",
    cap: CAP,
    floor: FLOOR,
    pool: CAP - FLOOR * HOLDERS.length,
    isIntegral: false,
};

interface Process {
    readonly clockRate: number;
    plan: BudgetPlan | undefined;
    confirmedAtMs: number | undefined;
    seenVersion: number;
    unchangedSinceMs: number;
    pausedUntilMs: number;
}

/** Durations, mostly short, so that several processes act within the lifetime of a plan. */
const durationMs = fc.oneof(
    { weight: 6, arbitrary: fc.integer({ min: 0, max: 150 }) },
    { weight: 2, arbitrary: fc.integer({ min: 0, max: 1_500 }) },
    { weight: 1, arbitrary: fc.integer({ min: 3_500, max: 5_000 }) },
);

/** One step of a history: after `afterMs`, a process reads the plan or writes one based on its last read. */
const step = fc.record({
    afterMs: durationMs,
    processIndex: fc.integer({ min: 0, max: HOLDERS.length - 1 }),
    action: fc.constantFrom("read", "read", "write", "write", "late-write", "pause"),
    demands: fc.array(fc.integer({ min: 0, max: 200 }), { minLength: 3, maxLength: 3 }),
    live: fc.subarray(HOLDERS, { minLength: 1 }),
    tookMs: durationMs,
});

const sumUsable = (processes: readonly Process[], nowMs: number): number =>
    processes.reduce((sum, process, index) =>
        sum + countUsableBudget({
            budget,
            plan: process.plan,
            confirmedAtMs: process.confirmedAtMs,
            holder: HOLDERS[index] ?? "",
            ownsFloor: true,
            nowMs: nowMs * process.clockRate,
        }), 0);

test("instances never exceed the cap together, with delayed writes, pauses and unequal clock rates", () => {
    fc.assert(
        fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), steps => {
            let nowMs = 1_000;
            let stored: { readonly version: number; readonly plan: BudgetPlan | undefined; } = {
                version: 0,
                plan: undefined,
            };
            const delayedWrites: { readonly plan: BudgetPlan; readonly version: number; }[] = [];
            const processes: readonly Process[] = HOLDERS.map((_holder, index) => ({
                clockRate: 1 + (index - 1) * 0.01,
                plan: undefined,
                confirmedAtMs: undefined,
                seenVersion: -1,
                unchangedSinceMs: 0,
                pausedUntilMs: 0,
            }));
            const compareAndSet = (plan: BudgetPlan, version: number): void => {
                if (version === stored.version) {
                    stored = { version: version + 1, plan };
                }
            };
            for (const each of steps) {
                nowMs += each.afterMs;
                const process = processes[each.processIndex];
                assert.ok(process);
                const readClock = (): number => nowMs * process.clockRate;
                if (delayedWrites.length > 0 && each.afterMs % 3 === 0) {
                    const write = delayedWrites.shift();
                    compareAndSet(write?.plan as BudgetPlan, write?.version ?? -1);
                }
                if (process.pausedUntilMs > nowMs) {
                    continue;
                }
                if (each.action === "pause") {
                    process.pausedUntilMs = nowMs + each.tookMs * 5;
                }
                else if (each.action === "read") {
                    const startedAtMs = readClock();
                    const seen = stored;
                    nowMs += each.tookMs;
                    process.plan = seen.plan ?? process.plan;
                    process.confirmedAtMs = seen.plan === undefined ? process.confirmedAtMs : startedAtMs;
                    if (seen.version !== process.seenVersion) {
                        process.seenVersion = seen.version;
                        process.unchangedSinceMs = readClock();
                    }
                }
                else if (process.seenVersion >= 0) {
                    const next = planBudgets({
                        region: "x",
                        nonce: String(nowMs),
                        plan: process.seenVersion === 0 ? undefined : process.plan,
                        unchangedForMs: readClock() - process.unchangedSinceMs,
                        budgets: [budget],
                        demands: Object.fromEntries(
                            each.live.map(
                                holder => [holder, {
                                    [budget.resource]: each.demands[HOLDERS.indexOf(holder)] ?? 0,
                                }],
                            ),
                        ),
                    });
                    if (next !== undefined && each.action === "late-write") {
                        delayedWrites.push({ plan: next, version: process.seenVersion });
                    }
                    else if (next !== undefined) {
                        compareAndSet(next, process.seenVersion);
                    }
                }
                assert.ok(
                    sumUsable(processes, nowMs) <= CAP + 1e-6,
                    `${sumUsable(processes, nowMs)} of ${CAP}`,
                );
            }
        }),
        { numRuns: 3_000 },
    );
});

test("a single busy instance can use 99 % of the cap less the floors of the idle ones when all views are fresh", () => {
    let plan: BudgetPlan | undefined;
    const demands = {
        "a.l1": { [budget.resource]: 500 },
        "b.l1": { [budget.resource]: 0 },
        "c.l1": { [budget.resource]: 0 },
    };
    for (let round = 0; round < 6; round++) {
        plan = planBudgets({
            region: "x",
            nonce: String(round),
            plan,
            unchangedForMs: PLAN_EXPIRY_WAIT_MS + 1,
            budgets: [budget],
            demands,
        }) ?? plan;
    }
    const usable = countUsableBudget({
        budget,
        plan,
        confirmedAtMs: 0,
        holder: "a.l1",
        ownsFloor: true,
        nowMs: 1,
    });
    // The floors of the idle instances stay reserved for them.
    assert.ok(usable >= 0.99 * (CAP - 2 * FLOOR), String(usable));
});
