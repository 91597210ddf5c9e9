import { hashText } from "../hashText.js";
import type { MemberRecord } from "./MemberRecord.js";

const HASH_RANGE = 2 ** 32;

/**
 * Computes the digest of the instances of a data centre, by which two instances see whether they know the same of it.
 *
 * @param records - records of the data centre, in any order; those of instances that are gone don't count
 * @returns the digest
 */
export const computeMembersDigest = (records: readonly MemberRecord[]): number =>
    records
        .filter(record => !record.isGone)
        .map(({ name, generation, version }) => hashText(`${name}/${generation}/${version}`))
        .reduce((sum, hash) => (sum + hash) % HASH_RANGE, 0);
