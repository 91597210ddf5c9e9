import type { CarriedRecord } from "./CarriedRecord.js";
import { computeTopicDigest } from "./computeTopicDigest.js";

/**
 * Computes a digest by which an instance recognizes carried records of another one that it has already considered.
 *
 * @param carried - the carried records, by name
 * @returns an unsigned 32-bit number that depends on the names and revisions of the records, not on their order
 */
export const computeCarriedDigest = (carried: ReadonlyMap<string, CarriedRecord>): number =>
    computeTopicDigest(new Map([...carried].map(([name, { record }]) => [name, record] as const)));
