import { isNewerMember } from "./isNewerMember.js";
import type { MemberRecord } from "./MemberRecord.js";
import type { MemberTable } from "./MemberTable.js";

/** Time for which an instance that is gone is remembered, so that older news of it are recognized. */
const GONE_TTL_MS = 60_000;

/**
 * Merges a record into the table.
 *
 * @param members - the table so far
 * @param record - the record, from the instance itself or from another one
 * @param nowMs - current monotonic time
 * @returns the next table; the same object when the record is not newer than the known one
 */
export const mergeMember = (members: MemberTable, record: MemberRecord, nowMs: number): MemberTable => {
    const known = members.get(record.name);
    if (known !== undefined && !isNewerMember(record, known.record)) {
        return members;
    }
    const kept = [...members].filter(([, member]) =>
        !member.record.isGone || nowMs - member.learntAtMs < GONE_TTL_MS
    );
    return new Map([...kept, [record.name, { record, learntAtMs: nowMs }]]);
};
