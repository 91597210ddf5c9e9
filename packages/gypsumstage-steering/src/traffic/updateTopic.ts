import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";
import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import { computeTopicDigest } from "./computeTopicDigest.js";
import type { TopicEvent } from "./TopicEvent.js";
import type { TopicState } from "./TopicState.js";

/**
 * Revision of a removal that is part of every update: a grace period ends at another time on each instance, so the
 * revision of the other copy does not tell whether it still has the record.
 */
const ALWAYS_SENT = Number.POSITIVE_INFINITY;
/** Removals that a copy remembers; beyond that it sends the names of all records instead. */
const MAX_REMOVALS = 1_000;

type ListedEvent = Extract<TopicEvent, { readonly kind: "listed"; }>;
type MergedEvent = Extract<TopicEvent, { readonly kind: "merged"; }>;
type ChangedEvent = Extract<TopicEvent, { readonly kind: "changed"; }>;

const isOlder = (state: TopicState, revision: number): boolean =>
    state.revision !== undefined && revision < state.revision;

const copyRetained = (
    state: TopicState,
    records: Map<string, TopicRecord>,
    retainUntilMs: number | undefined,
): ReadonlyMap<string, number> => {
    const expiryByName = new Map<string, number>();
    for (const [name, record] of state.records) {
        const untilMs = state.expiryByName.get(name) ?? retainUntilMs;
        if (!records.has(name) && untilMs !== undefined) {
            records.set(name, record);
            expiryByName.set(name, untilMs);
        }
    }
    return expiryByName;
};

const replaceRecords = (
    state: TopicState,
    records: Map<string, TopicRecord>,
    revision: number,
    retainUntilMs: number | undefined,
): TopicState => {
    const expiryByName = copyRetained(state, records, retainUntilMs);
    return {
        ...state,
        revision,
        changedRevision: revision,
        records,
        expiryByName,
        removals: new Map(),
        removalsSince: revision,
    };
};

const applyListing = (state: TopicState, event: ListedEvent): TopicState => {
    const records = new Map<string, TopicRecord>(event.records.map(record => [record.name, record]));
    return replaceRecords(state, records, event.revision, event.retainUntilMs);
};

const applyMerge = (state: TopicState, event: MergedEvent): TopicState => {
    const names = new Set(event.names);
    const unchanged = [...state.records].filter(([name]) => names.has(name));
    const changed = event.records.map(record => [record.name, record] as const);
    return replaceRecords(state, new Map([...unchanged, ...changed]), event.revision, undefined);
};

interface MutableTopic {
    readonly records: Map<string, TopicRecord>;
    readonly expiryByName: Map<string, number>;
    readonly removals: Map<string, number>;
}

const applyChange = (topic: MutableTopic, change: TopicChange, event: ChangedEvent): void => {
    if (change.kind === "put") {
        topic.records.set(change.record.name, change.record);
        topic.expiryByName.delete(change.record.name);
        topic.removals.delete(change.record.name);
    }
    else if (event.retainUntilMs === undefined) {
        topic.records.delete(change.name);
        topic.expiryByName.delete(change.name);
        topic.removals.set(change.name, event.revision);
    }
    else if (topic.records.has(change.name)) {
        topic.expiryByName.set(change.name, topic.expiryByName.get(change.name) ?? event.retainUntilMs);
    }
};

const applyChanges = (state: TopicState, event: ChangedEvent): TopicState => {
    if (event.changes.length === 0) {
        return event.revision === state.revision ? state : { ...state, revision: event.revision };
    }
    const topic: MutableTopic = {
        records: new Map(state.records),
        expiryByName: new Map(state.expiryByName),
        removals: new Map(state.removals),
    };
    for (const change of event.changes) {
        applyChange(topic, change, event);
    }
    const isTooLong = topic.removals.size > MAX_REMOVALS;
    return {
        ...state,
        ...topic,
        revision: event.revision,
        changedRevision: event.revision,
        removals: isTooLong ? new Map() : topic.removals,
        removalsSince: isTooLong ? event.revision : state.removalsSince,
    };
};

const removeExpired = (state: TopicState, nowMs: number): TopicState => {
    const expired = [...state.expiryByName].filter(([, untilMs]) => untilMs <= nowMs).map(([name]) => name);
    if (expired.length === 0) {
        return state;
    }
    const records = new Map(state.records);
    const expiryByName = new Map(state.expiryByName);
    const removals = new Map(state.removals);
    for (const name of expired) {
        records.delete(name);
        expiryByName.delete(name);
        removals.set(name, ALWAYS_SENT);
    }
    return { ...state, records, expiryByName, removals };
};

const applyUpdate = (state: TopicState, event: TopicEvent): TopicState => {
    if (event.kind === "time-passed") {
        return removeExpired(state, event.nowMs);
    }
    if (isOlder(state, event.revision)) {
        return state;
    }
    switch (event.kind) {
        case "listed":
            return applyListing(state, event);
        case "merged":
            return applyMerge(state, event);
        case "changed":
            return applyChanges(state, event);
    }
};

/**
 * Applies an update to a topic. An update of an older revision is ignored, so a stale read of the store or a peer that
 * lags behind never reverts the records.
 *
 * @param state - the copy of the topic so far
 * @param event - the update
 * @returns the next state; the same object when nothing changed
 */
export const updateTopic = (state: TopicState, event: TopicEvent): TopicState => {
    const next = applyUpdate(state, event);
    return next.records === state.records ? next : { ...next, digest: computeTopicDigest(next.records) };
};
