import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";

const identify = (record: HeardRecord): string => `${record.name}.${record.launch}`;

const isLater = (seen: HeardRecord, held: HeardRecord | undefined): boolean =>
    held === undefined || seen.sequence > held.sequence
    || (seen.sequence === held.sequence && seen.heardAtMs > held.heardAtMs);

/**
 * Merges records heard from a peer into those held. The result does not depend on the order in which
 * records arrive.
 *
 * @param held - the records held, one a launch
 * @param seen - the records heard
 * @returns the held array itself when nothing changed
 */
export const mergeRecords = (
    held: readonly HeardRecord[],
    seen: readonly HeardRecord[],
): readonly HeardRecord[] => {
    const merged = new Map(held.map(record => [identify(record), record]));
    let isChanged = false;
    for (const record of seen) {
        if (isLater(record, merged.get(identify(record)))) {
            merged.set(identify(record), record);
            isChanged = true;
        }
    }
    return isChanged ? [...merged.values()] : held;
};
