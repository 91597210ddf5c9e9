import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_VIEW } from "../../EMPTY_VIEW.js";
import { FRESH_RECORD_MAX_AGE_MS } from "../../FRESH_RECORD_MAX_AGE_MS.js";
import { rankInstances } from "../../rankInstances.js";

const NOW_MS = 100_000;

const createRecord = (index: number, isLeaving: boolean, ageMs: number): TimestampedRecord => ({
    name: `i-${index}`,
    launch: "l",
    dataCentre: `d-${index % 3}`,
    region: `r-${index % 2}`,
    entryAddress: `a-${index}`,
    peerAddress: "",
    steerAddress: "",
    sequence: 1,
    generation: 1,
    lastSeenAtMs: NOW_MS - ageMs,
    entry: {
        incarnation: "x",
        isLeaving,
        generation: 1,
        inFlight: {},
        freeSlots: {},
        freeLongSlots: {},
        demand: {},
        drainedInFlight: {},
        acknowledged: {},
    },
});

const instances = fc.array(fc.tuple(fc.boolean(), fc.integer({ min: 0, max: 10_000 })), {
    minLength: 1,
    maxLength: 12,
});

test("a ranking of known instances is never empty, and contains leaving or stale ones only when no other is known", () => {
    fc.assert(fc.property(instances, drawn => {
        const records = drawn.map(([isLeaving, ageMs], index) => createRecord(index, isLeaving, ageMs));
        const ranked = rankInstances(
            { ...EMPTY_VIEW, records },
            { dataCentre: "d-0", region: "r-0" },
            NOW_MS,
            Math.random,
        );
        assert.ok(ranked.length > 0);
        const isUsable = (record: TimestampedRecord | undefined): boolean =>
            record?.entry?.isLeaving === false && NOW_MS - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS;
        if (records.some(isUsable)) {
            assert.ok(ranked.every(each => isUsable(records.find(record => record.name === each.name))));
        }
    }));
});
