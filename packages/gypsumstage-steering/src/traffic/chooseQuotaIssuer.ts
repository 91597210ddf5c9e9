import { rankByRendezvousHash } from "../rankByRendezvousHash.js";

/**
 * Chooses the instance that divides all usage caps among the distributors.
 *
 * @param names - names of the live instances that serve requests
 * @returns name of the issuer; undefined when there are no instances
 */
export const chooseQuotaIssuer = (names: readonly string[]): string | undefined =>
    rankByRendezvousHash("quota-issuer", names)[0];
