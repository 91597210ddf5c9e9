import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";
import type { CarriedRecord } from "./CarriedRecord.js";
import type { TopicEvent } from "./TopicEvent.js";
import type { TopicUpdate } from "./TopicUpdate.js";

const toRecordsEvent = (update: TopicUpdate, era: number, nowMs: number): TopicEvent => {
    const { revision, records, removed, names } = update;
    if (names !== undefined) {
        return { kind: "merged", records, names, era, revision };
    }
    if (removed === undefined) {
        return { kind: "listed", records, era, revision, retainUntilMs: undefined, nowMs };
    }
    const changes: readonly TopicChange[] = [
        ...removed.map((name): TopicChange => ({ kind: "removed", name })),
        ...records.map((record): TopicChange => ({ kind: "put", record })),
    ];
    return { kind: "changed", changes, era, revision, retainUntilMs: undefined };
};

/**
 * Converts an update received from another instance into the events that apply it.
 *
 * @param update - the received update
 * @param nowMs - current monotonic time
 * @returns the events, in order
 */
export const toTopicEvents = (update: TopicUpdate, nowMs: number): readonly TopicEvent[] => {
    const { era = 0, carried = [] } = update;
    const carriedRecords = carried.map(({ record, remainingMs }): CarriedRecord => ({
        record,
        untilMs: remainingMs === undefined ? undefined : nowMs + remainingMs,
    }));
    return [
        toRecordsEvent(update, era, nowMs),
        ...(carriedRecords.length === 0 ? [] : [{ kind: "carried", era, carried: carriedRecords } as const]),
    ];
};
