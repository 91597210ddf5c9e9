import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";
import type { Member } from "@gypsumstage/domain/Member";
import { FORGET_RECORD_MS } from "./FORGET_RECORD_MS.js";

/**
 * Drops the records of launches that the platform declares gone, and of those that it does not list and that
 * have been silent for long, so that replacements do not make the state grow.
 *
 * @param held - the records held
 * @param members - the platform's list
 * @param nowMs - the monotonic time
 * @returns the held array itself when nothing was dropped
 */
export const pruneRecords = (
    held: readonly HeardRecord[],
    members: readonly Member[],
    nowMs: number,
): readonly HeardRecord[] => {
    const states = new Map(members.map(member => [`${member.name}.${member.launch}`, member.state]));
    const kept = held.filter(record => {
        const state = states.get(`${record.name}.${record.launch}`);
        const isSilent = nowMs - record.heardAtMs > FORGET_RECORD_MS;
        return state !== "gone" && (state !== undefined || !isSilent);
    });
    return kept.length === held.length ? held : kept;
};
