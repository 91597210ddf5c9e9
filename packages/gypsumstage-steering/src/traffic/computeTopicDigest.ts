import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import { hashText } from "../hashText.js";

const UINT32_RANGE = 2 ** 32;

/**
 * Computes a digest by which two instances recognize that their copies of a topic hold the same records.
 *
 * @param records - the records of a copy
 * @returns an unsigned 32-bit number that depends on the names and revisions of the records, not on their order
 */
export const computeTopicDigest = (records: ReadonlyMap<string, TopicRecord>): number => {
    let digest = 0;
    for (const { name, revision } of records.values()) {
        digest = (digest + hashText(`${name}@${revision}`)) % UINT32_RANGE;
    }
    return digest;
};
