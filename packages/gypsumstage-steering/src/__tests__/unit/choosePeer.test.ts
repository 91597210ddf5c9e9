import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import assert from "node:assert/strict";
import { test } from "node:test";
import { choosePeer } from "../../choosePeer.js";
import { EMPTY_VIEW } from "../../EMPTY_VIEW.js";

const NOW_MS = 100_000;

const createRecord = (name: string, freeSlots: number, freeLongSlots: number): TimestampedRecord => ({
    name,
    launch: "l",
    dataCentre: "d-1",
    region: "r-1",
    entryAddress: "",
    peerAddress: "",
    steerAddress: "",
    sequence: 1,
    generation: 1,
    lastSeenAtMs: NOW_MS,
    entry: {
        incarnation: "x",
        isLeaving: false,
        generation: 1,
        inFlight: {},
        freeSlots: { intake: freeSlots },
        freeLongSlots: { intake: freeLongSlots },
        demand: {},
        drainedInFlight: {},
        acknowledged: {},
    },
});

const choose = (length: "short" | "long", records: readonly TimestampedRecord[]): string | undefined =>
    choosePeer({
        view: { ...EMPTY_VIEW, records },
        service: "intake",
        length,
        self: { name: "own", dataCentre: "d-0", region: "r-1" },
        preferredRegion: undefined,
        tried: new Set(),
        nowMs: NOW_MS,
        random: () => 0.01,
    })?.name;

test("long work is never forwarded to an entry that has free slots for short work only", () => {
    const shortOnly = createRecord("short-only", 9, 0);
    assert.equal(choose("long", [shortOnly]), undefined);
    assert.equal(choose("long", [shortOnly, createRecord("both", 1, 1)]), "both");
});

test("short work is forwarded to any entry with a free slot", () => {
    assert.equal(choose("short", [createRecord("short-only", 9, 0)]), "short-only");
});
