import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";

const TEXT_FIELDS = ["name", "dataCentre", "region", "address", "internalAddress", "incarnation"] as const;

/**
 * Returns whether content from another instance is a member record. Fields that this build does not know are ignored.
 *
 * @param content - the received content
 * @returns true when all fields that this build needs are there
 */
export const isMemberRecord = (content: unknown): content is MemberRecord => {
    if (typeof content !== "object" || !content) {
        return false;
    }
    const record = content as Partial<MemberRecord>;
    return TEXT_FIELDS.every(field => typeof record[field] === "string")
        && typeof record.generation === "number"
        && typeof record.version === "number"
        && typeof record.isGone === "boolean"
        && typeof record.isReady === "boolean";
};
