import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";
import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import type { TopicEvent } from "./TopicEvent.js";
import type { TopicState } from "./TopicState.js";

type ListedEvent = Extract<TopicEvent, { readonly kind: "listed"; }>;
type ChangedEvent = Extract<TopicEvent, { readonly kind: "changed"; }>;

const isOlder = (state: TopicState, revision: number): boolean =>
    state.revision !== undefined && revision < state.revision;

const applyListing = (state: TopicState, event: ListedEvent): TopicState => {
    const records = new Map<string, TopicRecord>(event.records.map(record => [record.name, record]));
    const expiryByName = new Map<string, number>();
    for (const [name, record] of state.records) {
        const untilMs = state.expiryByName.get(name) ?? event.retainUntilMs;
        if (!records.has(name) && untilMs !== undefined) {
            records.set(name, record);
            expiryByName.set(name, untilMs);
        }
    }
    return { revision: event.revision, changedRevision: event.revision, records, expiryByName };
};

const applyChange = (
    records: Map<string, TopicRecord>,
    expiryByName: Map<string, number>,
    change: TopicChange,
    retainUntilMs: number | undefined,
): void => {
    if (change.kind === "put") {
        records.set(change.record.name, change.record);
        expiryByName.delete(change.record.name);
    }
    else if (retainUntilMs === undefined) {
        records.delete(change.name);
        expiryByName.delete(change.name);
    }
    else if (records.has(change.name)) {
        expiryByName.set(change.name, expiryByName.get(change.name) ?? retainUntilMs);
    }
};

const applyChanges = (state: TopicState, event: ChangedEvent): TopicState => {
    if (event.changes.length === 0) {
        return event.revision === state.revision ? state : { ...state, revision: event.revision };
    }
    const records = new Map(state.records);
    const expiryByName = new Map(state.expiryByName);
    for (const change of event.changes) {
        applyChange(records, expiryByName, change, event.retainUntilMs);
    }
    return { revision: event.revision, changedRevision: event.revision, records, expiryByName };
};

const removeExpired = (state: TopicState, nowMs: number): TopicState => {
    const expired = [...state.expiryByName].filter(([, untilMs]) => untilMs <= nowMs).map(([name]) => name);
    if (expired.length === 0) {
        return state;
    }
    const records = new Map(state.records);
    const expiryByName = new Map(state.expiryByName);
    for (const name of expired) {
        records.delete(name);
        expiryByName.delete(name);
    }
    return { ...state, records, expiryByName };
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
    if (event.kind === "time-passed") {
        return removeExpired(state, event.nowMs);
    }
    if (isOlder(state, event.revision)) {
        return state;
    }
    return event.kind === "listed" ? applyListing(state, event) : applyChanges(state, event);
};
