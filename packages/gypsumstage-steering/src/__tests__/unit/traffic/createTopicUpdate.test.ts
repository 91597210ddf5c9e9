import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";
import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTopicUpdate } from "../../../traffic/createTopicUpdate.js";
import { EMPTY_TOPIC } from "../../../traffic/EMPTY_TOPIC.js";
import type { TopicEvent } from "../../../traffic/TopicEvent.js";
import type { TopicState } from "../../../traffic/TopicState.js";
import { toTopicEvents } from "../../../traffic/toTopicEvents.js";
import { updateTopic } from "../../../traffic/updateTopic.js";
import { createEndpoint } from "./createEndpoint.js";

const NAMES = ["a", "b", "c", "d", "e"];
const INSTANCES = 3;

const record = (name: string, revision: number): TopicRecord => ({
    name,
    revision,
    value: { kind: "endpoint", endpoint: createEndpoint(name) },
});

/** The store's objects and its changes, by revision. */
interface StoreHistory {
    readonly records: ReadonlyMap<string, TopicRecord>;
    readonly changes: readonly { readonly revision: number; readonly change: TopicChange; }[];
    readonly revision: number;
}

const write = (store: StoreHistory, name: string): StoreHistory => {
    const revision = store.revision + 1;
    const isPut = !store.records.has(name) || revision % 2 === 0;
    const records = new Map(store.records);
    if (isPut) {
        records.set(name, record(name, revision));
    }
    else {
        records.delete(name);
    }
    const change: TopicChange = isPut
        ? { kind: "put", record: record(name, revision) }
        : { kind: "removed", name };
    return { records, changes: [...store.changes, { revision, change }], revision };
};

const list = (state: TopicState, store: StoreHistory): TopicState =>
    updateTopic(state, {
        kind: "listed",
        records: [...store.records.values()],
        era: 0,
        revision: store.revision,
        retainUntilMs: undefined,
        nowMs: 0,
    });

const watch = (state: TopicState, store: StoreHistory): TopicState => {
    const { revision } = state;
    return revision === undefined ? list(state, store) : updateTopic(state, {
        kind: "changed",
        changes: store.changes.filter(each => each.revision > revision).map(each => each.change),
        era: 0,
        revision: store.revision,
        retainUntilMs: undefined,
    });
};

const toPosition = ({ era, revision }: TopicState): Parameters<typeof createTopicUpdate>[1] =>
    revision === undefined ? undefined : { era, revision };

const fetchFrom = (own: TopicState, peer: TopicState, areNamesNeeded = false): TopicState =>
    toTopicEvents(createTopicUpdate(peer, toPosition(own), areNamesNeeded, 0), 0).reduce(updateTopic, own);

const step = fc.oneof(
    fc.record({ kind: fc.constant("write" as const), name: fc.constantFrom(...NAMES) }),
    fc.record({ kind: fc.constantFrom("list" as const, "watch" as const), by: fc.nat(INSTANCES - 1) }),
    fc.record({
        kind: fc.constant("fetch" as const),
        by: fc.nat(INSTANCES - 1),
        from: fc.nat(INSTANCES - 1),
    }),
);

test("a copy kept by fetches of changes holds the records that the store had at its revision", () => {
    fc.assert(
        fc.property(fc.array(step, { minLength: 20, maxLength: 60, size: "max" }), steps => {
            let store: StoreHistory = { records: new Map(), changes: [], revision: 1 };
            const recordsByRevision = new Map([[1, store.records]]);
            const states: TopicState[] = Array.from({ length: INSTANCES }, () => EMPTY_TOPIC);
            for (const each of steps) {
                if (each.kind === "write") {
                    store = write(store, each.name);
                    recordsByRevision.set(store.revision, store.records);
                    continue;
                }
                const own = states[each.by] ?? EMPTY_TOPIC;
                const peer = each.kind === "fetch" ? states[each.from] ?? EMPTY_TOPIC : EMPTY_TOPIC;
                if (each.kind !== "fetch") {
                    states[each.by] = each.kind === "list" ? list(own, store) : watch(own, store);
                }
                else if ((peer.changedRevision ?? 0) > (own.revision ?? 0)) {
                    states[each.by] = fetchFrom(own, peer);
                }
                const { revision, records } = states[each.by] ?? EMPTY_TOPIC;
                const expected = recordsByRevision.get(revision ?? 1) ?? new Map();
                assert.deepEqual(new Map([...records].sort()), new Map([...expected].sort()));
            }
        }),
        { numRuns: 1_000 },
    );
});

test("a record that expired at one instance after its removal is removed by its updates from all others", () => {
    const store = write(write({ records: new Map(), changes: [], revision: 1 }, "a"), "b");
    const removed = (revision: number, retainUntilMs: number): TopicEvent => ({
        kind: "changed",
        changes: [{ kind: "removed", name: "a" }],
        era: 0,
        revision,
        retainUntilMs,
    });
    const put = (name: string, revision: number): TopicEvent => ({
        kind: "changed",
        changes: [{ kind: "put", record: record(name, revision) }],
        era: 0,
        revision,
        retainUntilMs: undefined,
    });
    const early = updateTopic(list(EMPTY_TOPIC, store), removed(4, 1_000));
    const late = updateTopic(list(EMPTY_TOPIC, store), removed(4, 9_000));
    const fetched = fetchFrom(list(EMPTY_TOPIC, store), updateTopic(late, put("c", 5)));
    assert.ok(fetched.records.has("a"));
    const expired = updateTopic(
        updateTopic(early, { kind: "time-passed", nowMs: 1_000 }),
        put("c", 5),
    );
    assert.deepEqual([...fetchFrom(fetched, expired).records.keys()], ["b", "c"]);
});

test("a removed record that an instance in its grace period passed on is gone after the next fetch of names", () => {
    const store = write(write({ records: new Map(), changes: [], revision: 1 }, "a"), "b");
    const removed = (retainUntilMs: number | undefined): TopicEvent => ({
        kind: "changed",
        changes: [{ kind: "removed", name: "a" }],
        era: 0,
        revision: 4,
        retainUntilMs,
    });
    const later: TopicEvent = {
        kind: "changed",
        changes: [{ kind: "put", record: record("c", 5) }],
        era: 0,
        revision: 5,
        retainUntilMs: undefined,
    };
    const inGrace = updateTopic(updateTopic(list(EMPTY_TOPIC, store), removed(9_000)), later);
    const correct = updateTopic(updateTopic(list(EMPTY_TOPIC, store), removed(undefined)), later);
    const misled = fetchFrom(list(EMPTY_TOPIC, store), inGrace);
    assert.ok(fetchFrom(misled, correct).records.has("a"), "the removal is older than the copy's revision");
    assert.deepEqual([...fetchFrom(misled, correct, true).records.keys()], ["b", "c"]);
});

test("an update without known removals carries names, not unchanged records", () => {
    const store = write(write(write({ records: new Map(), changes: [], revision: 1 }, "a"), "b"), "c");
    const listed = list(EMPTY_TOPIC, store);
    assert.deepEqual(createTopicUpdate(listed, { era: 0, revision: store.revision - 1 }, false, 0), {
        era: 0,
        revision: store.revision,
        records: [record("c", store.revision)],
        names: ["a", "b", "c"],
    });
});
