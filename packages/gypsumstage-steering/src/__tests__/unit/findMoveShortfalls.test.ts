import type { Member } from "@gypsumstage/domain/Member";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_VIEW } from "../../EMPTY_VIEW.js";
import { findMoveShortfalls } from "../../findMoveShortfalls.js";

const createEndpoint = (region: string, slots: number): Member => ({
    kind: "upstream",
    name: `e-${region}`,
    launch: "l",
    service: "s",
    address: "",
    slots,
    dataCentre: region,
    region,
    state: "live",
});

const createRecord = (region: string, inFlight: number): TimestampedRecord => ({
    name: region,
    launch: "l",
    dataCentre: region,
    region,
    entryAddress: "",
    peerAddress: "",
    steerAddress: "",
    sequence: 1,
    generation: 1,
    lastSeenAtMs: 0,
    entry: {
        incarnation: "",
        isLeaving: false,
        generation: 1,
        inFlight: { s: inFlight },
        freeSlots: {},
        freeLongSlots: {},
        demand: {},
        drainedInFlight: {},
        acknowledged: {},
    },
});

test("a move is reported as short of slots when the target region cannot carry it beside its own work", () => {
    const view = {
        ...EMPTY_VIEW,
        members: [createEndpoint("a", 10), createEndpoint("b", 10)],
        records: [createRecord("a", 8), createRecord("b", 4)],
    };
    const move = { service: "s", from: "a", to: "b" };
    assert.deepEqual(findMoveShortfalls({ ...move, part: 0.5 }, view, 1), []);
    assert.deepEqual(findMoveShortfalls({ ...move, part: 1 }, view, 1), [
        { what: "service s in slots of b", needed: 12, available: 9 },
    ]);
});
