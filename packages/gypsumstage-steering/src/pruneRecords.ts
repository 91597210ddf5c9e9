import type { Member } from "@gypsumstage/domain/Member";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import { RECORD_RETENTION_MS } from "./RECORD_RETENTION_MS.js";

/**
 * Evicts the records of launches that the platform lists as `gone`, and the expired records of launches that it does
 * not list, so that replacements of instances do not make the state grow without bound.
 *
 * @param current - the current records
 * @param members - the platform's list of members
 * @param nowMs - the monotonic time
 * @returns the remaining records; `current` itself when none was evicted
 */
export const pruneRecords = (
    current: readonly TimestampedRecord[],
    members: readonly Member[],
    nowMs: number,
): readonly TimestampedRecord[] => {
    const states = new Map(members.map(member => [`${member.name}.${member.launch}`, member.state]));
    const retained = current.filter(record => {
        const state = states.get(`${record.name}.${record.launch}`);
        const isExpired = nowMs - record.lastSeenAtMs > RECORD_RETENTION_MS;
        return state !== "gone" && (state !== undefined || !isExpired);
    });
    return retained.length === current.length ? current : retained;
};
