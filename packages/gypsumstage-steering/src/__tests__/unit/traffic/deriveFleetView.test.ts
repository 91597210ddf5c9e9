import type { TopicValue } from "@gypsumstage/domain/traffic/TopicValue";
import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import assert from "node:assert/strict";
import { test } from "node:test";
import { deriveFleetView } from "../../../traffic/deriveFleetView.js";
import { EMPTY_FLEET_VIEW } from "../../../traffic/EMPTY_FLEET_VIEW.js";
import { EMPTY_TOPIC } from "../../../traffic/EMPTY_TOPIC.js";
import type { TopicState } from "../../../traffic/TopicState.js";
import { createEndpoint } from "./createEndpoint.js";

const policy = (version: number): TrafficPolicy => ({
    version,
    routes: [],
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const topic = (...values: readonly TopicValue[]): TopicState => ({
    ...EMPTY_TOPIC,
    revision: 1,
    records: new Map(values.map((value, index) => [`o${index}`, { name: `o${index}`, revision: 1, value }])),
});

const derive = (before: typeof EMPTY_FLEET_VIEW, policies: TopicState, endpoints = topic()): typeof before =>
    deriveFleetView(before, { policy: policies, endpoints, evacuations: topic() });

test("a configuration is never replaced by an older version", () => {
    const later = derive(EMPTY_FLEET_VIEW, topic({ kind: "policy", policy: policy(7) }));
    const older = derive(later, topic({ kind: "policy", policy: policy(5) }));
    assert.equal(older.policy?.version, 7);
});

test("a malformed configuration does not replace the one in force", () => {
    const before = derive(EMPTY_FLEET_VIEW, topic({ kind: "policy", policy: policy(7) }));
    const after = derive(before, topic({ kind: "malformed", reason: "cut short" }));
    assert.equal(after.policy?.version, 7);
});

test("a malformed record is ignored and the other endpoints stay listed", () => {
    const endpoints = topic(
        { kind: "malformed", reason: "slots" },
        { kind: "endpoint", endpoint: createEndpoint("a") },
    );
    const view = derive(EMPTY_FLEET_VIEW, topic(), endpoints);
    assert.deepEqual([...view.endpoints.keys()], ["a"]);
    assert.equal(view.isComplete, true);
});

test("a view is not complete before the endpoints have been listed", () => {
    const view = deriveFleetView(EMPTY_FLEET_VIEW, {
        policy: topic({ kind: "policy", policy: policy(1) }),
        endpoints: EMPTY_TOPIC,
        evacuations: topic(),
    });
    assert.equal(view.isComplete, false);
});
