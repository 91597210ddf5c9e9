import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";
import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import { beginEra } from "./beginEra.js";
import { computeTopicDigest } from "./computeTopicDigest.js";
import { dropReplacedCarried } from "./dropReplacedCarried.js";
import { mergeCarried } from "./mergeCarried.js";
import type { TopicEvent } from "./TopicEvent.js";
import type { TopicState } from "./TopicState.js";
import { updateDepartures } from "./updateDepartures.js";

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
    return replaceRecords({ ...state, era: event.era }, records, event.revision, event.retainUntilMs);
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

const endCarried = (state: TopicState, nowMs: number): TopicState => {
    const kept = [...state.carried].filter(([, { untilMs }]) => untilMs === undefined || nowMs < untilMs);
    return kept.length === state.carried.size ? state : { ...state, carried: new Map(kept) };
};

const applyOfEra = (state: TopicState, event: ListedEvent | MergedEvent | ChangedEvent): TopicState => {
    if (state.revision !== undefined && event.revision < state.revision) {
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

const applyEvent = (state: TopicState, event: TopicEvent): TopicState => {
    if (event.kind === "time-passed") {
        return endCarried(removeExpired(state, event.nowMs), event.nowMs);
    }
    const isFirst = state.revision === undefined;
    if (event.era === state.era || (isFirst && event.kind === "listed")) {
        return event.kind === "carried" ? mergeCarried(state, event.carried) : applyOfEra(state, event);
    }
    // Changes since a revision say nothing about a copy of another era: it is replaced by a listing only.
    return event.kind === "listed" && event.era > state.era ? beginEra(state, event) : state;
};

/**
 * Applies an update to a topic. An update of an older era, or of an older revision of the same era, is ignored, so a stale
 * read of the store or a peer that lags behind never reverts the records.
 *
 * @param state - the copy of the topic so far
 * @param event - the update
 * @returns the next state; the same object when nothing changed
 */
export const updateTopic = (state: TopicState, event: TopicEvent): TopicState => {
    const applied = applyEvent(state, event);
    if (applied.records === state.records && applied.carried === state.carried) {
        return applied;
    }
    const next = applied.era === state.era
        ? {
            ...applied,
            carried: dropReplacedCarried({ ...applied, records: state.records }, applied.records),
        }
        : applied;
    return {
        ...next,
        digest: computeTopicDigest(next.records),
        departures: updateDepartures(state, next),
    };
};
