import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createKeyTable } from "../../createKeyTable.js";

const WINDOW_MS = 1_000;

const step = fc.record({
    afterMs: fc.integer({ min: 0, max: 700 }),
    key: fc.integer({ min: 0, max: 6 }),
    madeOffsetMs: fc.integer({ min: -1_500, max: 1_500 }),
    end: fc.constantFrom("served", "unknown", "not-run", "still-running"),
});

test("a key never runs again once it may have run, whatever the callers' clocks show", () => {
    fc.assert(
        fc.property(fc.array(step, { maxLength: 80 }), fc.integer({ min: 1, max: 4 }), (steps, capacity) => {
            let nowMs = 1_000_000;
            const table = createKeyTable<string>({ capacity, windowMs: WINDOW_MS, nowMs: () => nowMs });
            const madeAtMsByKey = new Map<number, number>();
            const mayHaveRun = new Set<number>();
            for (const each of steps) {
                nowMs += each.afterMs;
                const madeAtMs = madeAtMsByKey.get(each.key) ?? nowMs + each.madeOffsetMs;
                madeAtMsByKey.set(each.key, madeAtMs);
                const decision = table.begin(`key-${each.key}`, madeAtMs, "POST /x");
                if (decision.kind === "execute") {
                    assert.ok(!mayHaveRun.has(each.key), `key ${each.key} ran twice`);
                    if (each.end !== "not-run") {
                        mayHaveRun.add(each.key);
                    }
                    if (each.end !== "still-running") {
                        table.settle(
                            `key-${each.key}`,
                            each.end === "served" ? { kind: "served", answer: "a" } : { kind: each.end },
                        );
                    }
                }
                assert.ok(table.size() <= capacity);
            }
        }),
        { numRuns: 2_000 },
    );
});

test("a full table refuses new keys and evicts none", () => {
    const table = createKeyTable<string>({ capacity: 1, windowMs: WINDOW_MS, nowMs: () => 5_000 });
    assert.equal(table.begin("a", 5_000, "f").kind, "execute");
    table.settle("a", { kind: "served", answer: "response" });
    assert.equal(table.begin("b", 5_000, "f").kind, "full");
    assert.deepEqual(table.begin("a", 5_000, "f"), {
        kind: "replay",
        settlement: { kind: "served", answer: "response" },
    });
});

test("a retry joins the request in flight, and a key used for a different request is refused", async () => {
    const table = createKeyTable<string>({ capacity: 9, windowMs: WINDOW_MS, nowMs: () => 5_000 });
    table.begin("a", 5_000, "f");
    const joined = table.begin("a", 5_000, "f");
    assert.equal(table.begin("a", 5_000, "other").kind, "mismatch");
    table.settle("a", { kind: "unknown" });
    assert.deepEqual(joined.kind === "join" && await joined.settled, { kind: "unknown" });
});
