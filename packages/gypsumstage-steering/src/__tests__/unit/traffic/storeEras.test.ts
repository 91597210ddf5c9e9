import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import type { TopicValue } from "@gypsumstage/domain/traffic/TopicValue";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTopicUpdate } from "../../../traffic/createTopicUpdate.js";
import { EMPTY_TOPIC } from "../../../traffic/EMPTY_TOPIC.js";
import { findPeerWithNewerTopic } from "../../../traffic/findPeerWithNewerTopic.js";
import { getTopicVersion } from "../../../traffic/getTopicVersion.js";
import { listRecordsInForce } from "../../../traffic/listRecordsInForce.js";
import type { PeerState } from "../../../traffic/PeerState.js";
import type { TopicState } from "../../../traffic/TopicState.js";
import { toTopicEvents } from "../../../traffic/toTopicEvents.js";
import { updateTopic } from "../../../traffic/updateTopic.js";
import { createEndpoint } from "./createEndpoint.js";
import { createReport } from "./createReport.js";

const INSTANCES = 3;
/** Longer than any record is carried for a limited time. */
const LATER_MS = 60_000;
const LOCATION = { dataCentre: "kutch-a", region: "kutch" };

const policy = (version: number): TopicValue => ({
    kind: "policy",
    policy: {
        version,
        routes: [],
        services: [],
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    },
});

const endpoint = (id: string, startedAt: number, isDraining: boolean): TopicValue => ({
    kind: "endpoint",
    endpoint: { ...createEndpoint(id), startedAt, isDraining },
});

/** A store, and what its writers last wrote, whether or not the store still has it. */
interface StoreModel {
    readonly era: number;
    readonly revision: number;
    readonly records: ReadonlyMap<string, TopicRecord>;
    readonly changes: readonly {
        readonly name: string;
        readonly record: TopicRecord | undefined;
        readonly revision: number;
    }[];
    readonly written: ReadonlyMap<string, TopicValue>;
}

const EMPTY_STORE: StoreModel = { era: 1, revision: 1, records: new Map(), changes: [], written: new Map() };

const store = (model: StoreModel, name: string, value: TopicValue | undefined): StoreModel => {
    const revision = model.revision + 1;
    const records = new Map(model.records);
    const record = value === undefined ? undefined : { name, revision, value };
    if (record === undefined) {
        records.delete(name);
    }
    else {
        records.set(name, record);
    }
    return { ...model, records, revision, changes: [...model.changes, { name, record, revision }] };
};

const write = (model: StoreModel, name: string, value: TopicValue | undefined): StoreModel => {
    const written = new Map(model.written);
    if (value === undefined) {
        written.delete(name);
    }
    else {
        written.set(name, value);
    }
    return { ...store(model, name, value), written };
};

const restore = (model: StoreModel, copy: StoreModel): StoreModel => ({
    ...copy,
    era: model.era + 1,
    written: model.written,
});

/** The operator and the endpoints write again what they wrote. */
const rewrite = (model: StoreModel): StoreModel => {
    const names = new Set([...model.records.keys(), ...model.written.keys()]);
    return [...names].reduce((next, name) => store(next, name, model.written.get(name)), model);
};

const list = (state: TopicState, model: StoreModel, nowMs = 0): TopicState =>
    updateTopic(state, {
        kind: "listed",
        records: [...model.records.values()],
        era: model.era,
        revision: model.revision,
        retainUntilMs: undefined,
        nowMs,
    });

const watch = (state: TopicState, model: StoreModel): TopicState => {
    const { revision } = state;
    if (revision === undefined || state.era !== model.era) {
        return list(state, model);
    }
    return updateTopic(state, {
        kind: "changed",
        changes: model.changes.filter(each => each.revision > revision).map(({ name, record }) =>
            record === undefined ? { kind: "removed", name } : { kind: "put", record }
        ),
        era: model.era,
        revision: model.revision,
        retainUntilMs: undefined,
    });
};

const toPeer = (name: string, state: TopicState): PeerState => {
    const version = getTopicVersion(state);
    return {
        report: createReport(name, { topics: version === undefined ? {} : { endpoints: version } }),
        receivedAtMs: 0,
        heardAtMs: 0,
    };
};

const fetchFrom = (own: TopicState, peer: TopicState, nowMs = 0): TopicState => {
    const isWanted =
        findPeerWithNewerTopic("endpoints", own, new Set(), [toPeer("peer", peer)], LOCATION) !== undefined;
    const since = own.revision === undefined ? undefined : { era: own.era, revision: own.revision };
    return isWanted
        ? toTopicEvents(createTopicUpdate(peer, since, true, nowMs), nowMs).reduce(updateTopic, own)
        : own;
};

const pass = (state: TopicState, nowMs: number): TopicState =>
    updateTopic(state, { kind: "time-passed", nowMs });

const valuesInForce = (state: TopicState): ReadonlyMap<string, TopicValue> =>
    new Map([...listRecordsInForce(state)].map(([name, { value }]) => [name, value] as const).sort());

test("a late response of an earlier era changes nothing, whatever its revision", () => {
    const before = write(EMPTY_STORE, "main", policy(5));
    const later = write(write(before, "main", policy(7)), "main", policy(8));
    const restored = list(list(EMPTY_TOPIC, later), restore(later, before));
    assert.equal(list(restored, later), restored);
    assert.equal(fetchFrom(restored, list(EMPTY_TOPIC, later)), restored);
});

test("a change whose revision is given out again reaches an instance that holds the earlier one", () => {
    const copy = write(EMPTY_STORE, "main", policy(5));
    const lost = write(copy, "main", policy(7));
    const reader = list(EMPTY_TOPIC, lost);
    const reused = write(restore(lost, copy), "main", policy(9));
    assert.equal(reused.revision, lost.revision);
    assert.deepEqual(valuesInForce(fetchFrom(reader, list(EMPTY_TOPIC, reused))).get("main"), policy(9));
});

test("an instance that was cut off passes on a configuration that only it knew", () => {
    const copy = write(EMPTY_STORE, "main", policy(5));
    const lost = write(copy, "main", policy(7));
    const restored = restore(lost, copy);
    const others = list(EMPTY_TOPIC, restored);
    const cutOff = fetchFrom(list(EMPTY_TOPIC, lost), others);
    assert.deepEqual(valuesInForce(cutOff).get("main"), policy(7));
    assert.deepEqual(valuesInForce(fetchFrom(others, cutOff)).get("main"), policy(7));
});

test("an endpoint that left after the restore is not taken over from an instance that lags behind", () => {
    const copy = write(EMPTY_STORE, "e1", endpoint("e1", 2, false));
    const lost = write(copy, "e1", endpoint("e1", 4, false));
    const restored = restore(lost, copy);
    const lagging = list(list(EMPTY_TOPIC, lost), restored);
    assert.deepEqual(valuesInForce(lagging).get("e1"), endpoint("e1", 4, false));
    const left = write(restored, "e1", undefined);
    const started = fetchFrom(list(EMPTY_TOPIC, left), lagging);
    assert.equal(valuesInForce(started).size, 0);
    // An instance that still carries an earlier run for a limited time gets no later run without limit either.
    const between = list(EMPTY_TOPIC, write(copy, "e1", endpoint("e1", 3, false)));
    assert.equal(valuesInForce(pass(fetchFrom(list(between, left), lagging), LATER_MS)).size, 0);
});

test("an endpoint that is listed again after its entry was removed gets requests once its entry outlives a silent one", () => {
    const copy = write(EMPTY_STORE, "e1", endpoint("e1", 4, false));
    const lost = write(copy, "e1", undefined);
    const known = watch(list(EMPTY_TOPIC, copy), lost);
    const restored = list(known, restore(lost, copy));
    assert.deepEqual(valuesInForce(pass(restored, 2_500)).get("e1"), endpoint("e1", 4, true));
    assert.deepEqual(valuesInForce(pass(restored, LATER_MS)).get("e1"), endpoint("e1", 4, false));
});

test("an endpoint that announced that it leaves stays so for good, until it starts again under its id", () => {
    const copy = write(EMPTY_STORE, "e1", endpoint("e1", 4, false));
    const draining = write(copy, "e1", endpoint("e1", 4, true));
    const lost = write(draining, "e1", undefined);
    const known = watch(watch(list(EMPTY_TOPIC, copy), draining), lost);
    const again = restore(lost, copy);
    const restored = pass(list(known, again), LATER_MS);
    assert.deepEqual(valuesInForce(restored).get("e1"), endpoint("e1", 4, true));
    const restarted = watch(restored, write(again, "e1", endpoint("e1", 9, false)));
    assert.deepEqual(valuesInForce(restarted).get("e1"), endpoint("e1", 9, false));
});

test("an evacuation that a copy lacks ends when nobody writes it again, and at once when it is withdrawn", () => {
    const evacuation: TopicValue = { kind: "evacuation", dataCentre: "kutch-a" };
    const lost = write(EMPTY_STORE, "kutch-a", evacuation);
    const again = restore(lost, EMPTY_STORE);
    const restored = list(list(EMPTY_TOPIC, lost), again);
    assert.equal(valuesInForce(restored).size, 1);
    assert.equal(valuesInForce(pass(restored, LATER_MS)).size, 0);
    const rewritten = watch(restored, rewrite(again));
    assert.equal(valuesInForce(watch(rewritten, write(rewrite(again), "kutch-a", undefined))).size, 0);
});

const step = fc.oneof(
    fc.record({ kind: fc.constant("policy" as const) }),
    fc.record({
        kind: fc.constantFrom("start" as const, "drain" as const, "leave" as const),
        name: fc.constantFrom("e1", "e2", "e3"),
    }),
    fc.record({ kind: fc.constantFrom("copy" as const, "restore" as const, "rewrite" as const) }),
    fc.record({
        kind: fc.constantFrom("list" as const, "watch" as const, "fetch" as const, "stop" as const),
        by: fc.nat(INSTANCES - 1),
        from: fc.nat(INSTANCES - 1),
    }),
);

interface Run {
    readonly model: StoreModel;
    readonly copy: StoreModel;
    readonly states: readonly TopicState[];
    /** Latest version and latest run that has left, as each instance knew them; by instance and object. */
    readonly known: readonly ReadonlyMap<string, number>[];
}

const replace = <Value>(list: readonly Value[], index: number, value: Value): readonly Value[] =>
    list.map((each, at) => at === index ? value : each);

const applyToStore = (run: Run, name: string, kind: "start" | "drain" | "leave", time: number): Run => {
    const current = run.model.written.get(name);
    if (kind === "start") {
        return { ...run, model: write(run.model, name, endpoint(name, time, false)) };
    }
    if (current?.kind !== "endpoint") {
        return run;
    }
    const next = kind === "leave" ? undefined : endpoint(name, current.endpoint.startedAt, true);
    return { ...run, model: write(run.model, name, next) };
};

const getNextState = (
    run: Run,
    kind: "list" | "watch" | "fetch" | "stop",
    by: number,
    from: number,
): TopicState => {
    const own = run.states[by] ?? EMPTY_TOPIC;
    switch (kind) {
        case "list":
            return list(own, run.model);
        case "watch":
            return watch(own, run.model);
        case "fetch":
            return fetchFrom(own, run.states[from] ?? EMPTY_TOPIC);
        case "stop":
            return EMPTY_TOPIC;
    }
};

/** Returns what an instance knows now, and fails when it acts on something that it knew to be replaced. */
const checkAndLearn = (
    known: ReadonlyMap<string, number>,
    before: TopicState,
    after: TopicState,
): ReadonlyMap<string, number> => {
    const next = new Map(known);
    const now = valuesInForce(after);
    const main = now.get("main");
    if (main?.kind === "policy") {
        assert.ok(main.policy.version >= (known.get("main") ?? 0), "an older configuration came back");
        next.set("main", main.policy.version);
    }
    for (const [name, value] of now) {
        if (value.kind === "endpoint" && !value.endpoint.isDraining) {
            assert.ok(value.endpoint.startedAt > (known.get(name) ?? -1), `${name} came back`);
        }
        else if (value.kind === "endpoint") {
            next.set(name, Math.max(next.get(name) ?? -1, value.endpoint.startedAt));
        }
    }
    for (const [name, value] of valuesInForce(before)) {
        if (value.kind === "endpoint" && !now.has(name)) {
            next.set(name, Math.max(next.get(name) ?? -1, value.endpoint.startedAt));
        }
    }
    return next;
};

test("whatever is restored when, no instance goes back behind what it knew, and all agree with the writers in the end", () => {
    fc.assert(
        fc.property(fc.array(step, { minLength: 20, maxLength: 80, size: "max" }), steps => {
            let run: Run = {
                model: write(EMPTY_STORE, "main", policy(1)),
                copy: EMPTY_STORE,
                states: Array.from({ length: INSTANCES }, () => EMPTY_TOPIC),
                known: Array.from({ length: INSTANCES }, () => new Map<string, number>()),
            };
            steps.forEach((each, index) => {
                const time = index + 2;
                switch (each.kind) {
                    case "policy":
                        run = { ...run, model: write(run.model, "main", policy(time)) };
                        return;
                    case "copy":
                        run = { ...run, copy: run.model };
                        return;
                    case "restore":
                        run = { ...run, model: restore(run.model, run.copy) };
                        return;
                    case "rewrite":
                        run = { ...run, model: rewrite(run.model) };
                        return;
                    case "start":
                    case "drain":
                    case "leave":
                        run = applyToStore(run, each.name, each.kind, time);
                        return;
                    default: {
                        const before = run.states[each.by] ?? EMPTY_TOPIC;
                        const after = getNextState(run, each.kind, each.by, each.from);
                        const isStopped = each.kind === "stop";
                        const learnt = isStopped
                            ? new Map<string, number>()
                            : checkAndLearn(run.known[each.by] ?? new Map(), before, after);
                        run = {
                            ...run,
                            states: replace(run.states, each.by, after),
                            known: replace(run.known, each.by, learnt),
                        };
                    }
                }
            });
            const model = rewrite(run.model);
            const expected = new Map([...model.written].sort());
            run.states.forEach(state => {
                const settled = pass(watch(list(state, model), model), LATER_MS);
                assert.deepEqual(valuesInForce(settled), expected);
            });
        }),
        { numRuns: 2_000 },
    );
});
