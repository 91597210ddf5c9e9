import assert from "node:assert/strict";
import { test } from "node:test";
import { createEndpointTracker } from "../../upstream/createEndpointTracker.js";

test("the typical latency starts from the route's target, so that one fast response does not set it", () => {
    const tracker = createEndpointTracker();
    tracker.recordLatency("desk", 5);
    assert.equal(tracker.typicalMs("desk", 500), 200);
    tracker.recordLatency("desk", 5);
    assert.ok(tracker.typicalMs("desk", 500) > 190);
});

test("the typical latency follows requests on warm data, not rare long requests", () => {
    const tracker = createEndpointTracker();
    tracker.typicalMs("desk", 500);
    for (let sent = 0; sent < 400; sent++) {
        tracker.recordLatency("desk", sent % 5 === 0 ? 2_000 : 100 + sent % 40);
    }
    const typicalMs = tracker.typicalMs("desk", 500);
    assert.ok(typicalMs > 95 && typicalMs < 145, String(typicalMs));
});

test("requests in flight are counted for each endpoint, and their objects are warm there", () => {
    const tracker = createEndpointTracker();
    const endRequest = tracker.trackRequest("e-1", "k-1");
    assert.deepEqual([tracker.inFlightAt("e-1"), tracker.inFlightAt("e-2")], [1, 0]);
    endRequest();
    assert.deepEqual(tracker.inFlight(), {});
    assert.deepEqual([tracker.isWarm("e-1", "k-1"), tracker.isWarm("e-2", "k-1")], [true, false]);
});

test("an endpoint that is cold, or that a health check found restarted, has no warm objects", () => {
    const tracker = createEndpointTracker();
    for (const event of [{ kind: "cold", untilMs: 1 }, { kind: "checked", nowMs: 1, coldMs: 500 }] as const) {
        tracker.trackRequest("e-1", "k-1");
        tracker.recordHealthEvent("e-1", event);
        assert.equal(tracker.isWarm("e-1", "k-1"), false);
    }
    tracker.trackRequest("e-1", "k-1");
    tracker.recordHealthEvent("e-1", { kind: "checked", nowMs: 1, coldMs: 0 });
    assert.equal(tracker.isWarm("e-1", "k-1"), true);
});

test("object keys of the largest size do not fill the memory: the objects whose last request is longest ago are forgotten", () => {
    const tracker = createEndpointTracker();
    const keyOf = (index: number): string => `${index}-`.padEnd(9_000, "k");
    tracker.trackRequest("e-1", keyOf(0));
    for (let index = 1; index < 2_000; index++) {
        tracker.trackRequest("e-1", "in-use");
        tracker.trackRequest("e-2", keyOf(index));
    }
    assert.deepEqual(
        [
            tracker.isWarm("e-1", keyOf(0)),
            tracker.isWarm("e-1", "in-use"),
            tracker.isWarm("e-2", keyOf(1_999)),
        ],
        [false, true, true],
    );
});
