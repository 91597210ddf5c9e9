import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createQuotaModel } from "./createQuotaModel.js";

/** Time after which a fleet that starts as a whole has divided its caps. */
const START_MS = 8_000;
const RATE = 40;
const BURST = 30;

const computeBound = (rate: number, burst: number): number => (rate * 5 + burst) * 1.1 + 20;
const BOUND = computeBound(RATE, BURST);

type Model = ReturnType<typeof createQuotaModel>;

const assertWithinBound = (model: Model, bound = BOUND, sinceMs = 0): void => {
    const worst = model.worstWindow(sinceMs);
    assert.ok(worst < bound, `${worst} sent in a window, bound ${bound}`);
};

const assertUsed = (granted: number, forMs: number, least: number): void => {
    const used = granted / RATE / forMs * 1_000;
    assert.ok(used > least, `used ${used.toFixed(3)} of the cap`);
};

/** Demand of `load` times the cap, at all instances of the given data centre or of all. */
const spread = (count: number, load: number, dataCentre?: number) => (index: number): number => {
    const callers = dataCentre === undefined ? count : Math.floor((count + 5 - dataCentre) / 6);
    return dataCentre === undefined || index % 6 === dataCentre ? RATE * load / callers : 0;
};

for (const count of [8, 90, 300]) {
    test(`${count} instances use over 0.9 of a cap and stay below its bound, whether demand is even or in one place`, async () => {
        for (const dataCentre of [undefined, 3]) {
            const model = createQuotaModel(count, RATE, BURST);
            await model.run(START_MS, spread(count, 7.5, dataCentre));
            const { granted, longestWaitMs } = await model.run(10_000, spread(count, 7.5, dataCentre));
            assertUsed(granted, 10_000, 0.9);
            assert.ok(longestWaitMs <= 20, `a request waited ${longestWaitMs} ms`);
            assertWithinBound(model);
        }
    });
}

test("within the cap less than 3 in 100 requests are refused", async () => {
    for (const dataCentre of [undefined, 3]) {
        const model = createQuotaModel(90, RATE, BURST);
        await model.run(2 * START_MS, spread(90, 0.7, dataCentre));
        const { granted, refused } = await model.run(20_000, spread(90, 0.7, dataCentre));
        assert.ok(refused < 0.03 * (granted + refused), `${refused} of ${granted + refused} refused`);
    }
});

test("a refused request is told a time within which the cap allows as many as were told an earlier one", async () => {
    const model = createQuotaModel(8, RATE, 0);
    await model.run(START_MS, spread(8, 2));
    const { retryAfterMs } = await model.run(1_000, spread(8, 2));
    const soon = retryAfterMs.filter(each => each < 1_000).length;
    assert.ok(retryAfterMs.every(each => each >= 0 && each <= 15_200));
    assert.ok(
        soon < RATE * 2,
        `${soon} of ${retryAfterMs.length} callers are told to come back within a second`,
    );
});

for (const [count, deaths] of [[90, 2], [300, 1]] as const) {
    test(`${count} instances use over 0.8 of a cap while every 30 s the issuer dies`, async () => {
        const model = createQuotaModel(count, RATE, BURST);
        await model.run(START_MS, spread(count, 3));
        const dead = new Set<string>();
        let granted = 0;
        for (let death = 0; death < deaths; death++) {
            dead.add(model.issuer() ?? "");
            model.setSides((_, name) => dead.has(name) ? undefined : 0);
            granted += (await model.run(30_000, spread(count, 3))).granted;
        }
        assertUsed(granted, deaths * 30_000, 0.8);
        assertWithinBound(model);
    });
}

for (const sides of [2, 3]) {
    test(`a fleet that is split into ${sides} stays below the bound, and each side goes on`, async () => {
        for (const count of [8, 90]) {
            const model = createQuotaModel(count, RATE, BURST);
            await model.run(START_MS, spread(count, 7.5));
            model.setSides(index => index % sides);
            await model.run(10_000, spread(count, 7.5));
            assertUsed((await model.run(40_000, spread(count, 7.5))).granted, 40_000, 0.8);
            model.setSides(() => 0);
            await model.run(10_000, spread(count, 7.5));
            assertWithinBound(model);
        }
    });
}

test("an issuer that was frozen, and one that is slow, add nothing to what its successor grants", async () => {
    const model = createQuotaModel(90, RATE, BURST);
    await model.run(START_MS, spread(90, 7.5));
    const frozen = model.issuer() ?? "";
    model.freeze(frozen, 6_000);
    model.setSides((_, name) => name === frozen ? 1 : 0);
    await model.run(5_990, spread(90, 7.5));
    model.setSides(() => 0);
    await model.run(8_000, spread(90, 7.5));
    model.slowDown(model.issuer() ?? "", 200);
    await model.run(10_000, spread(90, 7.5));
    assertWithinBound(model);
});

test("a lowered cap binds at once under a hot workspace, and a raised one is used", async () => {
    const model = createQuotaModel(90, RATE, BURST);
    await model.run(START_MS, spread(90, 7.5));
    model.setCap(RATE / 4, 0);
    const loweredAtMs = model.now();
    await model.run(10_000, spread(90, 7.5));
    assertWithinBound(model, computeBound(RATE / 4, 0), loweredAtMs);
    model.setCap(RATE, BURST);
    await model.run(3_000, spread(90, 7.5));
    assertUsed((await model.run(10_000, spread(90, 7.5))).granted, 10_000, 0.9);
    assertWithinBound(model);
});

test("demand that moves between data centres every 20 s uses over 0.8 of the cap", async () => {
    const model = createQuotaModel(90, RATE, BURST);
    await model.run(START_MS, spread(90, 3, 0));
    let granted = 0;
    for (const dataCentre of [2, 5, 1]) {
        granted += (await model.run(20_000, spread(90, 3, dataCentre))).granted;
    }
    assertUsed(granted, 60_000, 0.8);
    assertWithinBound(model);
});

test("new instances add nothing to the sum, also when half as many as before join", async () => {
    const model = createQuotaModel(8, RATE, BURST);
    await model.run(START_MS, spread(8, 7.5));
    for (const name of ["new-1", "new-2", "new-3", "new-4"]) {
        model.add(name);
        await model.run(300, spread(8, 7.5));
    }
    await model.run(12_000, spread(12, 7.5));
    assertUsed((await model.run(10_000, spread(12, 7.5))).granted, 10_000, 0.9);
    assertWithinBound(model);
});

test("no sequence of splits, deaths, freezes, slow messages and pauses of the demand exceeds the bound", async () => {
    const event = fc.oneof(
        fc.record({
            kind: fc.constant("split" as const),
            sides: fc.array(fc.nat(2), { minLength: 8, maxLength: 8 }),
        }),
        fc.record({ kind: fc.constant("die" as const), index: fc.nat(7) }),
        fc.record({ kind: fc.constant("freeze" as const), index: fc.nat(7), forMs: fc.nat(12_000) }),
        fc.record({ kind: fc.constant("slow" as const), index: fc.nat(7), byMs: fc.nat(400) }),
        fc.constant({ kind: "heal" as const }),
    );
    // After a pause of the demand all stocks are full.
    const step = fc.tuple(event, fc.integer({ min: 10, max: 6_000 }), fc.constantFrom(0, 7.5));
    const script = fc.array(step, { minLength: 3, maxLength: 8 });
    await fc.assert(
        fc.asyncProperty(script, fc.integer(), async (events, seed) => {
            const model = createQuotaModel(8, RATE, BURST, seed);
            await model.run(START_MS, spread(8, 7.5));
            for (const [each, pauseMs, load] of events) {
                switch (each.kind) {
                    case "split":
                        model.setSides(index => each.sides[index]);
                        break;
                    case "die":
                        model.setSides(index => index === each.index ? undefined : 0);
                        break;
                    case "freeze":
                        model.freeze(`n-${each.index}`, each.forMs);
                        break;
                    case "slow":
                        model.slowDown(`n-${each.index}`, each.byMs);
                        break;
                    case "heal":
                        model.setSides(() => 0);
                }
                await model.run(pauseMs, spread(8, load));
            }
            await model.run(2_000, spread(8, 7.5));
            assertWithinBound(model);
        }),
        { numRuns: 30, seed: 1 },
    );
});
