import type { RouteTarget } from "@gypsumstage/domain/traffic/RouteTarget";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseTarget } from "../../../traffic/chooseTarget.js";
import type { SplitState } from "../../../traffic/SplitState.js";

/** Requests after which the shares are compared. */
const REQUESTS = 600;

const assignRequests = (
    targets: readonly RouteTarget[],
    keys: readonly string[],
): Readonly<Record<string, number>> => {
    let state: SplitState = { requestsByService: {} };
    const requestsByService: Record<string, number> = {};
    for (let sent = 0; sent < REQUESTS; sent++) {
        const chosen = chooseTarget(targets, state, keys[sent % keys.length] ?? "");
        state = chosen.state;
        requestsByService[chosen.service ?? ""] = (requestsByService[chosen.service ?? ""] ?? 0) + 1;
    }
    return requestsByService;
};

test("each service gets its weighted share, also when few objects are requested", () => {
    fc.assert(fc.property(
        fc.array(fc.string(), { minLength: 1, maxLength: 5 }),
        fc.integer({ min: 5, max: 95 }),
        (keys, weight) => {
            const counts = assignRequests(
                [{ service: "a", weight }, { service: "b", weight: 100 - weight }],
                keys,
            );
            assert.ok(Math.abs((counts["a"] ?? 0) / REQUESTS - weight / 100) < 0.05);
        },
    ));
});

test("most requests for one object go to the same service, where its data are warm", () => {
    const keys = Array.from({ length: 60 }, (_, index) => `k${index}`);
    const targets = [{ service: "a", weight: 50 }, { service: "b", weight: 50 }];
    const first = new Map<string, string>();
    let state: SplitState = { requestsByService: {} };
    let unchanged = 0;
    for (let sent = 0; sent < REQUESTS; sent++) {
        const key = keys[sent % keys.length] ?? "";
        const chosen = chooseTarget(targets, state, key);
        state = chosen.state;
        const before = first.get(key) ?? chosen.service ?? "";
        first.set(key, before);
        unchanged += before === chosen.service ? 1 : 0;
    }
    assert.ok(unchanged / REQUESTS > 0.75, `${unchanged} of ${REQUESTS}`);
});

test("a service without weight gets no requests", () => {
    const chosen = chooseTarget(
        [{ service: "a", weight: 0 }, { service: "b", weight: 1 }],
        { requestsByService: {} },
        "k",
    );
    assert.equal(chosen.service, "b");
    assert.equal(chooseTarget([], { requestsByService: {} }, "k").service, undefined);
});
