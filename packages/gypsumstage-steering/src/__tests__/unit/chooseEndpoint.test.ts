import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AttemptBudget } from "../../AttemptBudget.js";
import { chooseEndpoint } from "../../chooseEndpoint.js";
import type { EndpointChoiceInput } from "../../EndpointChoiceInput.js";
import type { EndpointState } from "../../EndpointState.js";
import { isRetryAllowed } from "../../isRetryAllowed.js";
import { listLongSubset } from "../../listLongSubset.js";
import { updateAttemptBudget } from "../../updateAttemptBudget.js";
import { updateEndpoints } from "../../updateEndpoints.js";

const createEndpoint = (name: string, change: Partial<EndpointState> = {}): EndpointState => ({
    name,
    launch: "l",
    service: "s",
    address: "",
    ownSlots: 3,
    extraSlots: 0,
    inFlight: 0,
    inFlightLong: 0,
    slowness: 1,
    isSlowed: false,
    probeAtMs: 0,
    blockedUntilMs: 0,
    isLeaving: false,
    hasSignalled: false,
    ...change,
});

const createInput = (
    length: "short" | "long",
    change: Partial<EndpointChoiceInput> = {},
): EndpointChoiceInput => ({
    length,
    mayUseExtraSlots: false,
    longSubset: undefined,
    tried: new Set(),
    nowMs: 0,
    random: Math.random,
    ...change,
});

const event = fc.oneof(
    fc.record({
        kind: fc.constant("start" as const),
        length: fc.constantFrom("short" as const, "long" as const),
        extra: fc.boolean(),
    }),
    fc.record({ kind: fc.constant("end" as const), which: fc.nat(20) }),
    fc.record({
        kind: fc.constant("observe" as const),
        name: fc.constantFrom("a", "b", "c"),
        ratio: fc.double({ min: 0.1, max: 50, noNaN: true }),
    }),
    fc.record({ kind: fc.constant("leave" as const), name: fc.constantFrom("a", "b", "c") }),
);

test("an endpoint never has more requests in flight than slots, and gets no new work once it is leaving", () => {
    fc.assert(fc.property(fc.array(event, { maxLength: 120 }), events => {
        let state: readonly EndpointState[] = [
            createEndpoint("a"),
            createEndpoint("b", { extraSlots: 2 }),
            createEndpoint("c", { ownSlots: 1 }),
        ];
        const leavingNames = new Set<string>();
        const subset = listLongSubset("s", state);
        let running: readonly { readonly name: string; readonly length: "short" | "long"; }[] = [];
        for (const each of events) {
            if (each.kind === "start") {
                const chosen = chooseEndpoint(
                    state,
                    createInput(each.length, { mayUseExtraSlots: each.extra, longSubset: subset }),
                );
                if (chosen !== undefined) {
                    assert.ok(!leavingNames.has(chosen.name));
                    state = updateEndpoints(state, {
                        kind: "acquired",
                        name: chosen.name,
                        length: each.length,
                        nowMs: 0,
                    });
                    running = [...running, { name: chosen.name, length: each.length }];
                }
            }
            else if (each.kind === "end" && running.length > 0) {
                const index = each.which % running.length;
                const ended = running[index];
                assert.ok(ended);
                running = running.toSpliced(index, 1);
                state = updateEndpoints(state, {
                    kind: "released",
                    name: ended.name,
                    launch: "l",
                    length: ended.length,
                });
            }
            else if (each.kind === "observe") {
                state = updateEndpoints(state, { kind: "observed", name: each.name, ratio: each.ratio });
            }
            else if (each.kind === "leave") {
                leavingNames.add(each.name);
                state = updateEndpoints(state, { kind: "left", name: each.name, launch: "l" });
            }
            for (const endpoint of state) {
                assert.ok(endpoint.inFlight <= endpoint.ownSlots + endpoint.extraSlots);
                assert.ok(endpoint.inFlightLong <= Math.max(1, endpoint.ownSlots + endpoint.extraSlots - 1));
            }
        }
    }));
});

test("long work leaves some endpoints, and one slot of every other endpoint, to short work", () => {
    let state: readonly EndpointState[] = ["a", "b", "c", "d"].map(name => createEndpoint(name));
    const subset = listLongSubset("s", state);
    for (;;) {
        const chosen = chooseEndpoint(state, createInput("long", { longSubset: subset }));
        if (chosen === undefined) {
            break;
        }
        state = updateEndpoints(state, { kind: "acquired", name: chosen.name, length: "long", nowMs: 0 });
    }
    assert.equal(subset.size, 2);
    assert.deepEqual(state.map(each => each.inFlight).sort(), [0, 0, 2, 2]);
});

test("a slowed endpoint gets only probe requests while others have free slots, and recovers", () => {
    let state: readonly EndpointState[] = ["a", "b"].map(name => createEndpoint(name));
    for (let sample = 0; sample < 5; sample++) {
        state = updateEndpoints(state, { kind: "observed", name: "a", ratio: 10 });
    }
    assert.equal(state[0]?.isSlowed, true);
    assert.equal(chooseEndpoint(state, createInput("short"))?.name, "a", "a probe is due");
    state = updateEndpoints(state, { kind: "acquired", name: "a", length: "short", nowMs: 0 });
    for (let draw = 0; draw < 50; draw++) {
        assert.equal(chooseEndpoint(state, createInput("short", { nowMs: 500 }))?.name, "b");
    }
    for (let sample = 0; sample < 12; sample++) {
        state = updateEndpoints(state, { kind: "observed", name: "a", ratio: 1 });
    }
    assert.equal(state[0]?.isSlowed, false);
});

test("all attempts together stay within 1.1 times the requests when every attempt fails", () => {
    const cls = { isIdempotent: true } as RequestClass;
    let budget: AttemptBudget = { retryTokens: 1, hedgeTokens: 0 };
    let attempts = 0;
    const requests = 1_000;
    for (let request = 0; request < requests; request++) {
        budget = updateAttemptBudget(budget, "first-attempt");
        attempts += 1;
        while (isRetryAllowed(cls, "unknown", true, budget)) {
            budget = updateAttemptBudget(budget, "retry");
            attempts += 1;
        }
        while (budget.hedgeTokens >= 1) {
            budget = updateAttemptBudget(budget, "hedge");
            attempts += 1;
        }
    }
    assert.ok(attempts <= 1.1 * requests, String(attempts));
});

test("an endpoint gets work again after its drain is cancelled, but not after it signalled that it is leaving", () => {
    const { inFlight, inFlightLong, slowness, isSlowed, probeAtMs, blockedUntilMs, hasSignalled, ...listed } =
        createEndpoint("a");
    void [inFlight, inFlightLong, slowness, isSlowed, probeAtMs, blockedUntilMs, hasSignalled];
    const list = (state: readonly EndpointState[], isLeaving: boolean): readonly EndpointState[] =>
        updateEndpoints(state, { kind: "listed", endpoints: [{ ...listed, isLeaving }] });
    const drained = list([createEndpoint("a")], true);
    assert.equal(drained[0]?.isLeaving, true);
    assert.equal(list(drained, false)[0]?.isLeaving, false);
    const signalled = updateEndpoints([createEndpoint("a")], { kind: "left", name: "a", launch: "l" });
    assert.equal(list(signalled, false)[0]?.isLeaving, true);
});
