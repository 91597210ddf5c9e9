import type { AgedRecord } from "@gypsumstage/domain/AgedRecord";
import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";

/**
 * Replaces the times of records by ages, for a message to a process with another clock.
 *
 * @param records - the records held
 * @param nowMs - the monotonic time
 * @returns the records as they travel
 */
export const ageRecords = (records: readonly HeardRecord[], nowMs: number): readonly AgedRecord[] =>
    records.map(({ heardAtMs, ...record }) => ({ ...record, ageMs: Math.max(0, nowMs - heardAtMs) }));
