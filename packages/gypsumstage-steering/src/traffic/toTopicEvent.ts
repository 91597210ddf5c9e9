import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";
import type { TopicEvent } from "./TopicEvent.js";
import type { TopicUpdate } from "./TopicUpdate.js";

/**
 * Converts an update received from another instance into the event that applies it.
 *
 * @param update - the received update
 * @returns the event
 */
export const toTopicEvent = (update: TopicUpdate): TopicEvent => {
    const { revision, records, removed, names } = update;
    if (names !== undefined) {
        return { kind: "merged", records, names, revision };
    }
    if (removed === undefined) {
        return { kind: "listed", records, revision, retainUntilMs: undefined };
    }
    const changes: readonly TopicChange[] = [
        ...removed.map((name): TopicChange => ({ kind: "removed", name })),
        ...records.map((record): TopicChange => ({ kind: "put", record })),
    ];
    return { kind: "changed", changes, revision, retainUntilMs: undefined };
};
