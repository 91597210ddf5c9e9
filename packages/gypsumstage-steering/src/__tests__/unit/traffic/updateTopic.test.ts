import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";
import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_TOPIC } from "../../../traffic/EMPTY_TOPIC.js";
import type { TopicEvent } from "../../../traffic/TopicEvent.js";
import type { TopicState } from "../../../traffic/TopicState.js";
import { updateTopic } from "../../../traffic/updateTopic.js";
import { createEndpoint } from "./createEndpoint.js";

const record = (name: string, revision: number): TopicRecord => ({
    name,
    revision,
    value: { kind: "endpoint", endpoint: createEndpoint(name) },
});

const listed = (names: readonly string[], revision: number, retainUntilMs?: number): TopicEvent => ({
    kind: "listed",
    records: names.map(name => record(name, revision)),
    era: 0,
    revision,
    retainUntilMs,
    nowMs: 0,
});

const removed = (name: string, revision: number, retainUntilMs?: number): TopicEvent => ({
    kind: "changed",
    changes: [{ kind: "removed", name }],
    era: 0,
    revision,
    retainUntilMs,
});

const apply = (...events: readonly TopicEvent[]): TopicState => events.reduce(updateTopic, EMPTY_TOPIC);

const names = (state: TopicState): readonly string[] => [...state.records.keys()].sort();

test("a listing or a change of an older revision is ignored", () => {
    const state = apply(listed(["a", "b"], 10));
    assert.equal(updateTopic(state, listed(["a"], 9)), state);
    assert.equal(updateTopic(state, removed("a", 9)), state);
});

test("an endpoint that the store removed is removed immediately when no grace period applies", () => {
    assert.deepEqual(names(apply(listed(["a", "b"], 10), removed("a", 11))), ["b"]);
});

test("a record removed while the store was unreachable is kept until the grace period ends, then dropped", () => {
    const retained = apply(listed(["a", "b"], 10), removed("a", 11, 2_000));
    assert.deepEqual(names(retained), ["a", "b"]);
    assert.deepEqual(names(updateTopic(retained, { kind: "time-passed", nowMs: 1_999 })), ["a", "b"]);
    assert.deepEqual(names(updateTopic(retained, { kind: "time-passed", nowMs: 2_000 })), ["b"]);
});

test("a removed record that is written again is not dropped after the grace period", () => {
    const put: TopicChange = { kind: "put", record: record("a", 12) };
    const rewritten: TopicEvent = {
        kind: "changed",
        changes: [put],
        era: 0,
        revision: 12,
        retainUntilMs: undefined,
    };
    const state = apply(listed(["a"], 10), removed("a", 11, 2_000), rewritten, {
        kind: "time-passed",
        nowMs: 9_000,
    });
    assert.deepEqual(names(state), ["a"]);
});

test("a listing after the store is reachable again does not drop removed records before the grace period ends", () => {
    const state = apply(listed(["a", "b"], 10), listed(["b"], 20, 2_000));
    assert.deepEqual(names(state), ["a", "b"]);
    assert.deepEqual(names(updateTopic(state, { kind: "time-passed", nowMs: 2_000 })), ["b"]);
});

test("the revision never decreases, whatever the order of the updates", () => {
    const event = fc.record({ revision: fc.integer({ min: 1, max: 30 }), isList: fc.boolean() });
    fc.assert(fc.property(fc.array(event), history => {
        let state = EMPTY_TOPIC;
        for (const { revision, isList } of history) {
            const next = updateTopic(state, isList ? listed(["a"], revision) : removed("a", revision));
            assert.ok((next.revision ?? 0) >= (state.revision ?? 0));
            state = next;
        }
    }));
});
