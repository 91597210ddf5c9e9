import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { chooseWatchEnd } from "@gypsumstage/steering/traffic/chooseWatchEnd";

/**
 * Creates the schedule of the watches of all topics: their ends are spread, so that a reader hears from the store at regular
 * intervals with no further calls.
 *
 * @param getIntervalMs - returns the longest time between two responses of the store, in milliseconds
 * @returns the function that returns how long the next watch of a topic may wait, in milliseconds
 */
export const createWatchSchedule = (getIntervalMs: () => number): (topic: Topic) => number => {
    const endsMs = new Map<Topic, number>();
    return topic => {
        const nowMs = monotonicNow();
        endsMs.delete(topic);
        const endMs = chooseWatchEnd(nowMs, [...endsMs.values()], getIntervalMs());
        endsMs.set(topic, endMs);
        return Math.round(endMs - nowMs);
    };
};
