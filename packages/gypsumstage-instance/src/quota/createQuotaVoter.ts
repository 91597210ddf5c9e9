import { CLOCK_RATE_MARGIN_FACTOR } from "@gypsumstage/steering/CLOCK_RATE_MARGIN_FACTOR";
import { QUOTA_VOTE_VALIDITY_MS } from "@gypsumstage/steering/traffic/QUOTA_VOTE_VALIDITY_MS";
import type { QuotaVote } from "@gypsumstage/steering/traffic/QuotaVote";
import type { QuotaStamp } from "./QuotaStamp.js";

/** The vote of an instance, which is lent to one issuer at a time. */
interface QuotaVoter {
    /** Returns the vote for the issuer of the latest stamp; undefined while it is lent to another issuer or its part is 0. */
    readonly vote: (unit: number, nowMs: number) => QuotaVote | undefined;
    /** Records a time of an issuer's lease clock. */
    readonly recordStamp: (stamp: QuotaStamp, nowMs: number) => void;
}

/**
 * Creates the vote of an instance. The issuer read its clock before this instance received the stamp, so the vote has
 * ended there when its validity has passed here since then.
 *
 * @param voter - name of the instance
 * @returns the vote, which is not lent
 */
export const createQuotaVoter = (voter: string): QuotaVoter => {
    let latest: (QuotaStamp & { readonly endsAtMs: number; }) | undefined;
    let lent: { readonly issuerId: string; readonly untilMs: number; } | undefined;
    return {
        vote: (unit, nowMs) => {
            const isLentElsewhere = lent !== undefined && lent.issuerId !== latest?.issuerId
                && nowMs < lent.untilMs;
            if (latest === undefined || unit === 0 || isLentElsewhere) {
                return undefined;
            }
            const { issuerId, stampMs, endsAtMs } = latest;
            lent = { issuerId, untilMs: endsAtMs };
            return { voter, issuerId, stampMs, unit };
        },
        recordStamp: ({ issuerId, stampMs }, nowMs) => {
            if (latest?.issuerId !== issuerId || latest.stampMs < stampMs) {
                const endsAtMs = nowMs + QUOTA_VOTE_VALIDITY_MS * CLOCK_RATE_MARGIN_FACTOR;
                latest = { issuerId, stampMs, endsAtMs };
            }
        },
    };
};
