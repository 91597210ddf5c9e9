import type { TopicState } from "./TopicState.js";
import type { TopicUpdate } from "./TopicUpdate.js";

/**
 * Creates the update for an instance whose copy of a topic is complete up to a revision. Its size follows what changed
 * since then, so that a change costs the same whatever the size of the topic.
 *
 * @param state - this instance's copy of the topic
 * @param sinceRevision - revision up to which the other copy is complete; undefined when there is none
 * @param areNamesNeeded - true to send the names of all records in place of the removals
 * @returns the update
 */
export const createTopicUpdate = (
    state: TopicState,
    sinceRevision: number | undefined,
    areNamesNeeded: boolean,
): TopicUpdate => {
    const revision = state.changedRevision ?? 0;
    const records = [...state.records.values()];
    if (sinceRevision === undefined) {
        return { revision, records };
    }
    const changed = records.filter(record => record.revision > sinceRevision);
    if (areNamesNeeded || state.removalsSince === undefined || sinceRevision < state.removalsSince) {
        return { revision, records: changed, names: [...state.records.keys()] };
    }
    const removed = [...state.removals].filter(([, removedAt]) => removedAt > sinceRevision);
    return { revision, records: changed, removed: removed.map(([name]) => name) };
};
