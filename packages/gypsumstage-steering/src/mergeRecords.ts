import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";

const getRecordKey = (record: TimestampedRecord): string => `${record.name}.${record.launch}`;

const isNewer = (incoming: TimestampedRecord, current: TimestampedRecord | undefined): boolean =>
    current === undefined || incoming.sequence > current.sequence
    || (incoming.sequence === current.sequence && incoming.lastSeenAtMs > current.lastSeenAtMs);

/**
 * Merges records received from a peer into the current ones. The result does not depend on the order in which
 * records arrive.
 *
 * @param current - the current records, one per launch
 * @param incoming - the received records
 * @returns the merged records; `current` itself when nothing changed
 */
export const mergeRecords = (
    current: readonly TimestampedRecord[],
    incoming: readonly TimestampedRecord[],
): readonly TimestampedRecord[] => {
    const merged = new Map(current.map(record => [getRecordKey(record), record]));
    let isChanged = false;
    for (const record of incoming) {
        if (isNewer(record, merged.get(getRecordKey(record)))) {
            merged.set(getRecordKey(record), record);
            isChanged = true;
        }
    }
    return isChanged ? [...merged.values()] : current;
};
