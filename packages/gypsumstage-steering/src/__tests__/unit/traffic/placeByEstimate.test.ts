import assert from "node:assert/strict";
import { test } from "node:test";
import type { EstimatedCandidate } from "../../../traffic/EstimatedCandidate.js";
import { placeByEstimate } from "../../../traffic/placeByEstimate.js";
import { startsAtOnce } from "../../../traffic/startsAtOnce.js";
import { simulateChoosers } from "./simulateChoosers.js";

const candidate = (id: string, fields: Partial<EstimatedCandidate> = {}): EstimatedCandidate => ({
    id,
    region: "kutch",
    slots: 4,
    inFlight: 0,
    newInFlight: 0,
    deviation: 0.5,
    isWarm: true,
    isOnPrimarySide: true,
    isFurther: false,
    workMs: 500,
    queueWorkMs: 500,
    slowness: 1,
    errorShare: 0,
    roundTripMs: 2,
    ...fields,
});

/** Returns how often each candidate is chosen out of 1,000 times, by evenly spread draws. */
const countChoices = (candidates: readonly EstimatedCandidate[]): Readonly<Record<string, number>> => {
    const counts: Record<string, number> = {};
    let draws = 0;
    const random = (): number => (draws++ * 0.618_033_988_7) % 1;
    for (let request = 0; request < 1_000; request++) {
        const placement = placeByEstimate(candidates, 5_000, random);
        const id = placement.kind === "placed" ? placement.id : placement.kind;
        counts[id] = (counts[id] ?? 0) + 1;
    }
    return counts;
};

test("many choosers with the same figures do not all choose the best endpoint, and a full one gets little", () => {
    const counts = countChoices([
        candidate("idle"),
        candidate("idle too"),
        candidate("half", { inFlight: 2 }),
        candidate("full", { inFlight: 6 }),
    ]);
    assert.ok(Math.abs((counts["idle"] ?? 0) - (counts["idle too"] ?? 0)) < 100, JSON.stringify(counts));
    assert.ok((counts["half"] ?? 0) > 50 && (counts["full"] ?? 0) < 20, JSON.stringify(counts));
});

test("figures without meaning any more lead to an even distribution", () => {
    const old = { deviation: 2, newInFlight: 3 };
    const counts = countChoices([
        candidate("e-1", { ...old, inFlight: 3 }),
        candidate("e-2", { ...old, inFlight: 3 }),
    ]);
    assert.ok(Math.abs((counts["e-1"] ?? 0) - (counts["e-2"] ?? 0)) < 100, JSON.stringify(counts));
});

test("warm data: a free slot elsewhere does not draw requests from the object's usual endpoint", () => {
    const usual = candidate("usual", { inFlight: 3 });
    assert.deepEqual(
        countChoices([usual, candidate("further", { isWarm: false, isFurther: true })]),
        { usual: 1_000 },
    );
});

test("usual candidates full: the next ones in the object's order are used in place of a refusal, the rest is not", () => {
    const usual = [
        candidate("primary", { inFlight: 12 }),
        candidate("second", { isWarm: false, inFlight: 4 }),
    ];
    const further = ["f-1", "f-2", "f-3"].map(id => candidate(id, { isWarm: false, isFurther: true }));
    assert.deepEqual(Object.keys(countChoices([...usual, ...further])).sort(), ["f-1", "f-2"]);
    const full = further.map(each => ({ ...each, inFlight: 4 }));
    assert.deepEqual(countChoices([...usual, ...full]), { "no-room": 1_000 });
});

test("an endpoint that is slow at the moment gets less than its equal", () => {
    const counts = countChoices([candidate("usual", { inFlight: 3 }), candidate("slow", { slowness: 2.5 })]);
    assert.deepEqual(counts, { usual: 1_000 });
});

test("restart of all: where the queue is work on cold data, a free endpoint is better than to wait for long", () => {
    const queued = { inFlight: 9, queueWorkMs: 3_000 };
    const counts = countChoices([
        candidate("primary", queued),
        candidate("further", { isWarm: false, isFurther: true }),
    ]);
    assert.deepEqual(counts, { further: 1_000 });
});

test("short requests behind long ones: the wait counts by the work that is ahead, not by the request's own", () => {
    const short = { workMs: 100, queueWorkMs: 2_000, isOnPrimarySide: true };
    const counts = countChoices([
        candidate("primary", { ...short, inFlight: 5 }),
        candidate("second", { ...short, isWarm: false, inFlight: 1 }),
    ]);
    assert.deepEqual(counts, { second: 1_000 });
});

test("hedges go to endpoints that likely start them at once, not to those that may be full or keep other objects warm", () => {
    assert.equal(startsAtOnce(candidate("free", { inFlight: 2 })), true);
    assert.equal(startsAtOnce(candidate("perhaps full", { inFlight: 3 })), false);
    assert.equal(startsAtOnce(candidate("old figure", { inFlight: 2, deviation: 2 })), false);
    assert.equal(startsAtOnce(candidate("further", { isFurther: true })), false);
    const { id, region, slots, slowness, errorShare, roundTripMs } = candidate("reported");
    const reported = {
        id,
        region,
        slots,
        slowness,
        errorShare,
        roundTripMs,
        inFlight: 3,
        isWarm: true,
        isOnPrimarySide: true,
    };
    assert.equal(startsAtOnce(reported), true);
});

test("uncertain loads do not spread an object over its cold second candidate, nor requests over an endpoint known to be slow", () => {
    const uncertain = { deviation: 2, newInFlight: 2, inFlight: 2, queueWorkMs: 1_500 };
    for (const other of [{ isWarm: false }, { slowness: 2.5 }]) {
        const counts = countChoices([
            candidate("primary", uncertain),
            candidate("other", { ...uncertain, ...other }),
        ]);
        assert.deepEqual(counts, { primary: 1_000 });
    }
});

test("full endpoints: a queue that work on cold data would avoid while others idle is kept, as cold work holds slots for longer", () => {
    const primary = candidate("primary", { inFlight: 10, queueWorkMs: 1_200 });
    const second = candidate("second", { isWarm: false });
    const others = [11, 12].map(inFlight =>
        candidate(`third ${inFlight}`, { isFurther: true, isWarm: false, inFlight })
    );
    assert.deepEqual(countChoices([primary, second]), { second: 1_000 });
    assert.deepEqual(countChoices([primary, { ...second, inFlight: 2 }, ...others]), { primary: 1_000 });
});

const SIZES = { ageMs: 200, endpoints: 30, slots: 4, load: 0.85 } as const;

for (const choosers of [8, 90, 300]) {
    test(`old figures, ${choosers} choosers: endpoints are overloaded less of the time than by any other policy`, () => {
        const { overloadedShare, waitP99Ms } = simulateChoosers({ ...SIZES, policy: "estimate", choosers });
        for (const policy of ["random", "least reported", "two choices", "present code"] as const) {
            const other = simulateChoosers({ ...SIZES, policy, choosers });
            assert.ok(overloadedShare < other.overloadedShare, `${policy} ${other.overloadedShare}`);
            assert.ok(
                policy === "two choices" || waitP99Ms < other.waitP99Ms,
                `${policy} ${other.waitP99Ms}`,
            );
        }
    });
}
