import assert from "node:assert/strict";
import { test } from "node:test";
import type { PlacementCandidate } from "../../../traffic/PlacementCandidate.js";
import { placeRequest } from "../../../traffic/placeRequest.js";

const WORK_MS = 150;

const candidate = (id: string, fields: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
    id,
    region: "kutch",
    slots: 6,
    inFlight: 0,
    isWarm: false,
    isOnPrimarySide: false,
    slowness: 1,
    errorShare: 0,
    roundTripMs: 2,
    ...fields,
});

const placedAt = (candidates: readonly PlacementCandidate[], remainingMs = 3_000): string | undefined => {
    const placement = placeRequest(candidates, WORK_MS, remainingMs);
    return placement.kind === "placed" ? placement.id : undefined;
};

test("busy endpoints: a short queue at the warm endpoint is preferred to a free slot on a cold one", () => {
    assert.equal(
        placedAt([candidate("primary", { isWarm: true, inFlight: 9 }), candidate("other")]),
        "primary",
    );
});

test("overload: another warm candidate is chosen once the queue at the primary is long", () => {
    const primary = candidate("primary", { isWarm: true, inFlight: 17 });
    assert.equal(placedAt([primary, candidate("other", { isWarm: true })]), "other");
});

test("overload: no request queues at a cold endpoint, even when the primary is full", () => {
    const primary = candidate("primary", { isWarm: true, inFlight: 18 });
    assert.equal(placedAt([primary, candidate("other", { inFlight: 6 })]), undefined);
    assert.equal(placedAt([primary, candidate("other", { inFlight: 5 })]), "other");
});

test("primary's queue beyond one request's work: a free slot at its side's second candidate is preferred, elsewhere not", () => {
    const primary = candidate("primary", { isWarm: true, isOnPrimarySide: true, inFlight: 13 });
    assert.equal(
        placedAt([primary, candidate("second", { isOnPrimarySide: true }), candidate("other")]),
        "second",
    );
    assert.equal(placedAt([primary, candidate("other")]), "primary");
    assert.equal(
        placedAt([{ ...primary, inFlight: 10 }, candidate("second", { isOnPrimarySide: true })]),
        "primary",
    );
});

test("slow endpoint: requests go to a faster endpoint, even a cold one", () => {
    assert.equal(
        placedAt([candidate("primary", { isWarm: true, slowness: 8 }), candidate("other")]),
        "other",
    );
});

test("failing endpoint: requests go to another endpoint", () => {
    assert.equal(
        placedAt([candidate("primary", { isWarm: true, errorShare: 0.9 }), candidate("other")]),
        "other",
    );
});

test("all candidates full: the request is refused immediately, with a time after which to retry", () => {
    const placement = placeRequest(
        [candidate("primary", { inFlight: 18 }), candidate("other", { inFlight: 18 })],
        WORK_MS,
        3_000,
    );
    assert.equal(placement.kind, "no-room");
    assert.ok(placement.kind === "no-room" && placement.retryAfterMs >= 100);
});

test("a request whose wait would exceed its remaining time is refused immediately", () => {
    assert.equal(placedAt([candidate("primary", { isWarm: true, inFlight: 12 })], 100), undefined);
});

test("a service without endpoints is distinguished from full endpoints", () => {
    assert.equal(placeRequest([], WORK_MS, 1_000).kind, "no-endpoint");
});
