import type { TopicState } from "./TopicState.js";
import type { TopicUpdate } from "./TopicUpdate.js";

/** How far the copy of the requesting instance is complete. */
interface CopyPosition {
    readonly era: number;
    readonly revision: number;
}

const listCarried = (state: TopicState, nowMs: number): NonNullable<TopicUpdate["carried"]> =>
    [...state.carried.values()].map(({ record, untilMs }) =>
        untilMs === undefined ? { record } : { record, remainingMs: Math.max(0, untilMs - nowMs) }
    );

/**
 * Creates the update for an instance whose copy of a topic is complete up to a revision. Its size follows what changed
 * since then, so that a change costs the same whatever the size of the topic. For a copy of another era, it holds all
 * records.
 *
 * @param state - this instance's copy of the topic
 * @param since - era and revision up to which the other copy is complete; undefined when there is none
 * @param areNamesNeeded - true to send the names of all records in place of the removals
 * @param nowMs - current monotonic time
 * @returns the update
 */
export const createTopicUpdate = (
    state: TopicState,
    since: CopyPosition | undefined,
    areNamesNeeded: boolean,
    nowMs: number,
): TopicUpdate => {
    const carried = listCarried(state, nowMs);
    const update = {
        era: state.era,
        revision: state.changedRevision ?? 0,
        ...(carried.length === 0 ? {} : { carried }),
    };
    const records = [...state.records.values()];
    if (since === undefined || since.era !== state.era) {
        return { ...update, records };
    }
    const changed = records.filter(record => record.revision > since.revision);
    if (areNamesNeeded || state.removalsSince === undefined || since.revision < state.removalsSince) {
        return { ...update, records: changed, names: [...state.records.keys()] };
    }
    const removed = [...state.removals].filter(([, removedAt]) => removedAt > since.revision);
    return { ...update, records: changed, removed: removed.map(([name]) => name) };
};
