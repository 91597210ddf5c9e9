import assert from "node:assert/strict";
import { test } from "node:test";
import { issuePermits } from "../../../traffic/issuePermits.js";
import type { PermitState } from "../../../traffic/PermitState.js";

const WINDOW_MS = 4_000;
const DURATION_MS = 30_000;
const STEP_MS = 10;

interface SimulatedFleet {
    readonly instances: number;
    /** Requests for the endpoint that each instance has per second. */
    readonly demandPerSecond: number;
    readonly ratePerSecond: number;
}

interface SimulationResult {
    /** Times at which requests were sent. */
    readonly sentAtMs: readonly number[];
    readonly queries: number;
}

/** Runs instances that use each permit at once, and the rest of a grant for their next requests. */
const simulate = ({ instances, demandPerSecond, ratePerSecond }: SimulatedFleet): SimulationResult => {
    let state: PermitState | undefined;
    let queries = 0;
    const sentAtMs: number[] = [];
    const stocks = Array.from(
        { length: instances },
        () => ({ permits: 0, validUntilMs: 0, deniedUntilMs: 0 }),
    );
    const intervalMs = 1_000 / demandPerSecond;
    const nextAtMs = stocks.map((...[, index]) => intervalMs * index / instances);
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
        for (const [index, stock] of stocks.entries()) {
            if ((nextAtMs[index] ?? 0) > nowMs) {
                continue;
            }
            nextAtMs[index] = (nextAtMs[index] ?? 0) + intervalMs;
            if ((stock.permits < 1 || stock.validUntilMs < nowMs) && stock.deniedUntilMs <= nowMs) {
                queries += 1;
                const issued = issuePermits(state, `n-${index}`, ratePerSecond, nowMs);
                state = issued.state;
                const { decision } = issued;
                stock.permits = decision.kind === "granted" ? decision.count : 0;
                stock.validUntilMs = decision.kind === "granted" ? nowMs + decision.validForMs : 0;
                stock.deniedUntilMs = decision.kind === "denied" ? nowMs + decision.retryAfterMs : 0;
            }
            if (stock.permits >= 1 && stock.validUntilMs >= nowMs) {
                stock.permits -= 1;
                sentAtMs.push(nowMs);
            }
        }
    }
    return { sentAtMs, queries };
};

const countMaxInWindow = (timesMs: readonly number[]): number =>
    Math.max(
        0,
        ...timesMs.map(fromMs => timesMs.filter(each => each >= fromMs && each < fromMs + WINDOW_MS).length),
    );

for (const instances of [1, 8, 84]) {
    for (const ratePerSecond of [0.5, 3, 40]) {
        test(`the permits of ${instances} instances keep to ${ratePerSecond} requests a second in sum, and most of them are used`, () => {
            const demandPerSecond = 3 * ratePerSecond / instances;
            const { sentAtMs } = simulate({ instances, demandPerSecond, ratePerSecond });
            assert.ok(countMaxInWindow(sentAtMs) <= 1.5 * ratePerSecond * WINDOW_MS / 1_000 + 5);
            assert.ok(
                sentAtMs.length >= 0.5 * ratePerSecond * DURATION_MS / 1_000,
                `${sentAtMs.length} sent`,
            );
        });
    }
}

test("3 requests a second go to whichever of 84 instances have requests, although an equal share would be none", () => {
    const { sentAtMs } = simulate({ instances: 84, demandPerSecond: 0.05, ratePerSecond: 3 });
    assert.ok(sentAtMs.length >= 0.5 * 3 * DURATION_MS / 1_000, `${sentAtMs.length} sent`);
});

test("instances that are denied come back one after the other, so queries don't grow with their number", () => {
    const queriesOf = (instances: number): number =>
        simulate({ instances, demandPerSecond: 10, ratePerSecond: 3 }).queries;
    const perSecond = 1_000 / DURATION_MS;
    assert.ok(queriesOf(84) * perSecond <= 3 * 3 + 84 / 5, `${queriesOf(84) * perSecond} queries a second`);
});

test("an endpoint that states a rate of 0 still gets single requests, by which the end of its limit is noticed", () => {
    const { sentAtMs } = simulate({ instances: 8, demandPerSecond: 2, ratePerSecond: 0 });
    assert.ok(sentAtMs.length > 0);
    assert.ok(countMaxInWindow(sentAtMs) <= 5);
});

test("an instance that becomes the issuer grants nothing before one permit has accrued", () => {
    const first = issuePermits(undefined, "n-1", 2, 0);
    assert.equal(first.decision.kind, "denied");
    assert.equal(issuePermits(first.state, "n-1", 2, 499).decision.kind, "denied");
    assert.equal(issuePermits(first.state, "n-1", 2, 500).decision.kind, "granted");
});
