import assert from "node:assert/strict";
import { test } from "node:test";
import { computeLocalPrimaryShare } from "../../../traffic/computeLocalPrimaryShare.js";
import { extrapolateDemand } from "../../../traffic/extrapolateDemand.js";
import { planLocalPrimaryShare } from "../../../traffic/planLocalPrimaryShare.js";
import { stepTowards } from "../../../traffic/stepTowards.js";

const STEP_S = 0.5;
const DAY_S = 180;
const SLOTS = [34, 42, 8];
const TOTAL_SLOTS = 84;
/** Mean load of all slots, and how far the demand of a region rises and falls. */
const MEAN_LOAD = 0.75;
const SWING = 0.55;
const DEMAND_WINDOW_S = 10;
const TREND_S = 5;
const WINDOW_STEPS = 4;

type Plan = "steady" | "slow" | "planned" | "planned without trend";

interface MovingPeakResult {
    /** Mean over time of the requests that exceed the slots of their region, as a share of all. */
    readonly excess: number;
    /** Largest part of a region's requests that changed side between two windows of 2 s. */
    readonly largestShift: number;
    readonly reversals: number;
}

/** Simulates peaks that move between three regions, of which one has few endpoints, in steps without single requests. */
const simulateMovingPeak = (plan: Plan, periodS: number): MovingPeakResult => {
    const shares = SLOTS.map(slots =>
        computeLocalPrimaryShare({ local: slots, total: TOTAL_SLOTS }, { local: 1, total: 3 })
    );
    const history: (readonly number[])[] = [];
    const shareHistory: (readonly number[])[] = [];
    const directions = [0, 0, 0];
    let excess = 0;
    let largestShift = 0;
    let reversals = 0;
    const demandBefore = (steps: number): readonly number[] => {
        const end = Math.max(1, history.length - steps);
        const window = history.slice(Math.max(0, end - DEMAND_WINDOW_S / STEP_S), end);
        return SLOTS.map((_, region) => window.reduce((sum, each) => sum + (each[region] ?? 0), 0));
    };
    const regionDemand = (demand: readonly number[], region: number): { local: number; total: number; } => ({
        local: demand[region] ?? 0,
        total: demand.reduce((sum, each) => sum + each, 0),
    });
    for (let step = 0; step < DAY_S / STEP_S; step++) {
        const angle = 2 * Math.PI * step * STEP_S / periodS;
        const demand = SLOTS.map((_, region) =>
            MEAN_LOAD * TOTAL_SLOTS / 3 * (1 + SWING * Math.sin(angle - 2 * Math.PI * region / 3))
        );
        history.push(demand);
        const work = SLOTS.map((_, region) =>
            demand.reduce((sum, each, from) => {
                const share = shares[from] ?? 0;
                const otherSlots = TOTAL_SLOTS - (SLOTS[from] ?? 0);
                return sum
                    + each * (from === region ? share : (1 - share) * (SLOTS[region] ?? 0) / otherSlots);
            }, 0)
        );
        excess += work.reduce((sum, each, region) => sum + Math.max(0, each - (SLOTS[region] ?? 0)), 0)
            / demand.reduce((sum, each) => sum + each, 0);
        SLOTS.forEach((slots, region) => {
            const current = regionDemand(demandBefore(2), region);
            const earlier = regionDemand(demandBefore(2 + TREND_S / STEP_S), region);
            const expected = plan === "planned" ? extrapolateDemand(earlier, current) : current;
            const fair = computeLocalPrimaryShare({ local: slots, total: TOTAL_SLOTS }, expected);
            const elsewhere = work.reduce((sum, each) => sum + each, -(work[region] ?? 0));
            const loads = {
                local: (work[region] ?? 0) / slots,
                elsewhere: elsewhere / (TOTAL_SLOTS - slots),
            };
            const before = shares[region] ?? 0;
            const steps: Readonly<Record<Plan, number>> = {
                "steady": before,
                "slow": stepTowards(before, fair, 0.002 * STEP_S),
                "planned": planLocalPrimaryShare(before, fair, loads, STEP_S * 1_000),
                "planned without trend": planLocalPrimaryShare(before, fair, loads, STEP_S * 1_000),
            };
            const next = steps[plan];
            shares[region] = next;
            const isReversal = (next - before) * (directions[region] ?? 0) < 0;
            reversals += isReversal ? 1 : 0;
            directions[region] = next === before ? directions[region] ?? 0 : Math.sign(next - before);
        });
        shareHistory.push([...shares]);
        const earlier = shareHistory[step - WINDOW_STEPS];
        largestShift = Math.max(
            largestShift,
            ...shares.map((share, region) => Math.abs(share - (earlier?.[region] ?? share))),
        );
    }
    return { excess: excess / (DAY_S / STEP_S), largestShift, reversals };
};

for (const periodS of [60, 120]) {
    test(`peaks that move between regions within ${periodS} s exceed the slots less, and the plan does not swing`, () => {
        const results = {
            steady: simulateMovingPeak("steady", periodS),
            slow: simulateMovingPeak("slow", periodS),
            planned: simulateMovingPeak("planned", periodS),
            withoutTrend: simulateMovingPeak("planned without trend", periodS),
        };
        const text = JSON.stringify(results);
        assert.ok(results.planned.excess < 0.6 * results.slow.excess, text);
        assert.ok(results.planned.largestShift < 0.05, text);
        // Two for each region and period: the peak comes and goes.
        assert.ok(results.planned.reversals <= 3 * 2 * DAY_S / periodS + 3, text);
    });
}

test("no side is full, or its load is not known: objects keep their endpoints, as moving them costs work on cold data", () => {
    const next = (loads: Parameters<typeof planLocalPrimaryShare>[2]): number =>
        Number((0.9 - planLocalPrimaryShare(0.9, 0.5, loads, 1_000)).toFixed(4));
    assert.deepEqual([next(undefined), next({ local: 0.6, elsewhere: 0.1 })], [0.002, 0.002]);
    assert.deepEqual([next({ local: 1.2, elsewhere: 1.15 }), next({ local: 1.2, elsewhere: 0.6 })], [
        0.002,
        0.02,
    ]);
});
