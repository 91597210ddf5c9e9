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

const createStatus = (overrides: Partial<EntryStatus>): EntryStatus => ({
    incarnation: "i",
    isLeaving: false,
    generation: 1,
    inFlight: {},
    freeSlots: {},
    freeLongSlots: {},
    demand: {},
    drainedInFlight: {},
    acknowledged: {},
    ...overrides,
});

test("the own record is renewed once a second, and immediately when the entry begins to leave or the platform is lost", () => {
    mock.timers.enable({ apis: ["Date"], now: 10_000 });
    let status = createStatus({});
    let isPlatformLost = false;
    const roles = {
        entryStatus: () => status,
        lowestGeneration: () => 1,
        recordReport: () => undefined,
    };
    const getOwnRecord = createOwnRecordProvider(cfg, roles, () => isPlatformLost);
    const first = getOwnRecord();
    mock.timers.tick(400);
    status = createStatus({ inFlight: { s: 3 } });
    assert.equal(getOwnRecord(), first);
    mock.timers.tick(600);
    assert.deepEqual(getOwnRecord().entry?.inFlight, { s: 3 });
    mock.timers.tick(10);
    status = createStatus({ isLeaving: true });
    const leaving = getOwnRecord();
    assert.equal(leaving.entry?.isLeaving, true);
    assert.ok(leaving.sequence > first.sequence);
    isPlatformLost = true;
    assert.equal(getOwnRecord().isPlatformLost, true);
    mock.timers.reset();
});
