import assert from "node:assert/strict";
import { test } from "node:test";
import type { OverloadCase } from "./OverloadCase.js";
import type { OverloadPolicy } from "./OverloadPolicy.js";
import type { OverloadResult } from "./OverloadResult.js";
import { simulateOverload } from "./simulateOverload.js";

const ENDPOINTS = 24;
const SAFE = { name: "safe", perSecond: 92, workMs: 1_040, targetMs: 852, deadlineMs: 5_290, priority: 1 };
const UNSAFE = {
    name: "unsafe",
    perSecond: 29,
    workMs: 1_360,
    targetMs: 2_056,
    deadlineMs: 6_147,
    priority: 2,
};
const BASE: OverloadCase = {
    kinds: [SAFE, UNSAFE],
    workspaces: Array.from({ length: 87 }, () => 1),
    demandFactor: () => 1,
    retry: "once-later",
    durationMs: 40_000,
};
const duringMiddle = (factor: number) => (nowMs: number): number =>
    nowMs > 10_000 && nowMs < 20_000 ? factor : 1;

/** A load, and by how much more of it is at least served on time than without admission. */
interface NamedLoad {
    readonly load: OverloadCase;
    readonly minGain: number;
    /** The same for the share that is served at all. */
    readonly minServedGain?: number;
}

/** Loads that admission neither helps nor may harm: one run differs from another by up to this. */
const NO_GAIN = -0.02;

const LOADS: Readonly<Record<string, NamedLoad>> = {
    "the usual load": { load: BASE, minGain: NO_GAIN },
    "a burst of 2.5 times": { load: { ...BASE, demandFactor: duringMiddle(2.5) }, minGain: 0.04 },
    "callers that retry at once": {
        load: { ...BASE, demandFactor: duringMiddle(2.5), retry: "three-at-once" },
        minGain: 0,
    },
    "callers that give up": {
        load: { ...BASE, demandFactor: duringMiddle(2.5), patienceMs: 1_800 },
        minGain: 0.03,
    },
    "a service that sheds all": {
        load: { ...BASE, shedsAt: nowMs => nowMs > 10_000 && nowMs < 18_500 },
        minGain: NO_GAIN,
        minServedGain: 0.015,
    },
    "a restart of all": { load: { ...BASE, restartAtMs: 15_000 }, minGain: NO_GAIN },
    "a burst while no instance gets the others' reports": {
        load: {
            ...BASE,
            demandFactor: duringMiddle(2.5),
            hasReports: nowMs => nowMs < 10_000 || nowMs > 19_000,
        },
        minGain: NO_GAIN,
    },
    "a noisy workspace": {
        load: {
            ...BASE,
            demandFactor: () => 1.6,
            workspaces: BASE.workspaces.map((_, index) => index === 0 ? 7.5 : 1),
        },
        minGain: 0.04,
    },
    "room for 70 % of the demand": { load: { ...BASE, demandFactor: () => 2.6 }, minGain: 0.08 },
};

const format = (policy: OverloadPolicy, result: OverloadResult): string => {
    const kinds = Object.entries(result.servedByKind).map(([kind, share]) => `${kind} ${share.toFixed(3)}`);
    return [
        policy,
        `on time ${result.onTime.toFixed(3)}`,
        `served ${result.served.toFixed(3)}`,
        ...kinds,
        `worst tenth of workspaces ${result.worstWorkspaces.toFixed(3)} of all`,
    ].join(", ");
};

for (const [name, { load, minGain, minServedGain = -0.01 }] of Object.entries(LOADS)) {
    test(`${name}: served on time as before or more, the urgent kind first, no workspace starved`, t => {
        const run = (policy: OverloadPolicy): OverloadResult => {
            const result = simulateOverload(load, policy, ENDPOINTS);
            t.diagnostic(format(policy, result));
            return result;
        };
        const firstCome = run("first-come");
        const present = run("present");
        const admission = run("admission");
        const { safe = 0, unsafe = 0 } = admission.servedByKind;
        assert.ok(admission.onTime >= present.onTime + minGain);
        assert.ok(admission.onTime >= firstCome.onTime);
        assert.ok(admission.served >= present.served + minServedGain);
        assert.ok(safe >= unsafe * 0.95);
        assert.ok(unsafe >= 0.3);
        assert.ok(admission.worstWorkspaces >= 0.7);
    });
}
