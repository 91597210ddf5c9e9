import type { MemberRecord } from "./MemberRecord.js";

type MemberOrder = Pick<MemberRecord, "generation" | "version" | "isGone">;

/**
 * Returns whether one record of an instance replaces another one. Only the instance itself raises its version, so it takes back a
 * report that it is gone by the next version.
 *
 * @param record - the record that was received
 * @param known - the record known so far
 * @returns true when `record` is the newer one
 */
export const isNewerMember = (record: MemberOrder, known: MemberOrder): boolean => {
    if (record.generation !== known.generation) {
        return record.generation > known.generation;
    }
    return record.version === known.version ? record.isGone && !known.isGone : record.version > known.version;
};
