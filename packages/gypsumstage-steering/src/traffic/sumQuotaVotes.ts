import { QUOTA_VOTE_VALIDITY_MS } from "./QUOTA_VOTE_VALIDITY_MS.js";
import type { QuotaVote } from "./QuotaVote.js";

/**
 * Sums what an issuer may grant: the votes that stay valid for longer than the shares that it grants now. An instance lends
 * its part to one issuer at a time, so the sums of several issuers together stay below 1, whatever each believes. Each part counts
 * as that of the voter that knows the most instances, as the others may not know of a new one yet.
 *
 * @param votes - the latest vote of each instance
 * @param sharesUntilMs - when the shares that are granted now end, on the issuer's lease clock
 * @returns the share of each cap that may be granted, 0 to 1
 */
export const sumQuotaVotes = (votes: Iterable<QuotaVote>, sharesUntilMs: number): number => {
    let count = 0;
    let unit = 1;
    for (const vote of votes) {
        unit = Math.min(unit, vote.unit);
        count += vote.stampMs + QUOTA_VOTE_VALIDITY_MS >= sharesUntilMs ? 1 : 0;
    }
    return Math.min(1, count * unit);
};
