import type { AgedRecord } from "@gypsumstage/domain/AgedRecord";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";

/**
 * Converts the ages of received records to times on the monotonic clock of this process. Ages are subtracted from
 * the send time of the request, so a record never appears fresher than it is, however long the response took.
 *
 * @param records - the records of the response
 * @param requestedAtMs - send time of the request, on the monotonic clock of this process
 * @returns the records with the time at which their instance was last known to be alive
 */
export const convertAgesToTimes = (
    records: readonly AgedRecord[],
    requestedAtMs: number,
): readonly TimestampedRecord[] =>
    records.map(({ ageMs, ...record }) => ({ ...record, lastSeenAtMs: requestedAtMs - ageMs }));
