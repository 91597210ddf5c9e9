import { isOlderValue } from "./isOlderValue.js";
import type { TopicState } from "./TopicState.js";

/**
 * Ends the carried records that the store's own records replace after a change: a value that is not older was written, or
 * an object that the store had in this era was removed.
 *
 * @param before - the topic before the change
 * @param records - the store's records after the change
 * @returns the carried records that stay; the same map when all do
 */
export const dropReplacedCarried = (
    before: TopicState,
    records: TopicState["records"],
): TopicState["carried"] => {
    const kept = [...before.carried].filter(([name, { record }]) => {
        const stored = records.get(name);
        return stored === undefined ? !before.records.has(name) : isOlderValue(stored.value, record.value);
    });
    return kept.length === before.carried.size ? before.carried : new Map(kept);
};
