import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import type { TopicState } from "./TopicState.js";

/**
 * Lists the records of a topic that an instance acts on: those of the store, some replaced by carried ones.
 *
 * @param state - the copy of the topic
 * @returns the records, by name
 */
export const listRecordsInForce = ({ records, carried }: TopicState): ReadonlyMap<string, TopicRecord> =>
    carried.size === 0
        ? records
        : new Map([...records, ...[...carried].map(([name, { record }]) => [name, record] as const)]);
