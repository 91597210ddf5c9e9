import type { AgedRecord } from "@gypsumstage/domain/AgedRecord";
import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";

/**
 * Places the records of a message on the clock of this process. The age counts from the moment the question
 * was sent, so a record never seems fresher than it is, however long the answer took.
 *
 * @param records - the records of the message
 * @param askedAtMs - when the question was sent, on the clock of this process
 * @returns the records with the time at which their instance was last known to be alive
 */
export const hearRecords = (records: readonly AgedRecord[], askedAtMs: number): readonly HeardRecord[] =>
    records.map(({ ageMs, ...record }) => ({ ...record, heardAtMs: askedAtMs - ageMs }));
