import type { EntryStatus } from "@gypsumstage/domain/EntryStatus";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { createOwnRecordProvider } from "../../createOwnRecordProvider.js";

const cfg = {
    instance: { name: "a-1", launch: "l1", dataCentre: "a", region: "r" },
    entry: { address: "", peer: "", metrics: "" },
    steer: { address: "" },
} as unknown as InstanceSettings;

const statusOf = (change: Partial<EntryStatus>): EntryStatus => ({
    incarnation: "i",
    isLeaving: false,
    generation: 1,
    inFlight: {},
    freeSlots: {},
    freeLongSlots: {},
    demand: {},
    drainedInFlight: {},
    acknowledged: {},
    ...change,
});

test("a record is renewed once a second, and at once when the entry begins to leave", () => {
    mock.timers.enable({ apis: ["Date"], now: 10_000 });
    let status = statusOf({});
    const own = createOwnRecordProvider(cfg, {
        entry: () => status,
        generation: () => 1,
        report: () => undefined,
    });
    const first = own();
    mock.timers.tick(400);
    status = statusOf({ inFlight: { s: 3 } });
    assert.equal(own(), first);
    mock.timers.tick(600);
    assert.deepEqual(own().entry?.inFlight, { s: 3 });
    mock.timers.tick(10);
    status = statusOf({ isLeaving: true });
    const leaving = own();
    assert.equal(leaving.entry?.isLeaving, true);
    assert.ok(leaving.sequence > first.sequence);
    mock.timers.reset();
});
