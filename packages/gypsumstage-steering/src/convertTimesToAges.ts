import type { AgedRecord } from "@gypsumstage/domain/AgedRecord";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";

/**
 * Replaces the times at which instances were last seen by ages, because the receiver of the message has another
 * monotonic clock.
 *
 * @param records - the records of the local view
 * @param nowMs - the monotonic time
 * @returns the records as sent in messages
 */
export const convertTimesToAges = (
    records: readonly TimestampedRecord[],
    nowMs: number,
): readonly AgedRecord[] =>
    records.map(({ lastSeenAtMs, ...record }) => ({ ...record, ageMs: Math.max(0, nowMs - lastSeenAtMs) }));
