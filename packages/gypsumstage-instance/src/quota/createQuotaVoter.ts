import { CLOCK_RATE_MARGIN_FACTOR } from "@gypsumstage/steering/CLOCK_RATE_MARGIN_FACTOR";
import { QUOTA_VOTE_VALIDITY_MS } from "@gypsumstage/steering/traffic/QUOTA_VOTE_VALIDITY_MS";
import type { QuotaVote } from "@gypsumstage/steering/traffic/QuotaVote";
import type { QuotaStamp } from "./QuotaStamp.js";

/** The vote of an instance, which is lent to one issuer at a time. */
interface QuotaVoter {
    /** Returns the vote; undefined while there is none to give. */
    readonly vote: (unit: number) => QuotaVote | undefined;
    /** Binds the vote to an issuer, unless it is still bound to another one. */
    readonly bind: (stamp: QuotaStamp, nowMs: number) => void;
}

/**
 * Creates the vote of an instance. The issuer read its clock before this instance heard of the stamp, so the vote has
 * ended there when its validity has passed here since then.
 *
 * @param voter - name of the instance
 * @returns the vote, which is not bound
 */
export const createQuotaVoter = (voter: string): QuotaVoter => {
    let bound: (QuotaStamp & { readonly untilMs: number; }) | undefined;
    return {
        vote: unit =>
            bound === undefined || unit === 0
                ? undefined
                : { voter, issuerId: bound.issuerId, stampMs: bound.stampMs, unit },
        bind: ({ issuerId, stampMs }, nowMs) => {
            if (bound !== undefined && bound.issuerId !== issuerId && nowMs < bound.untilMs) {
                return;
            }
            if (bound?.issuerId === issuerId && bound.stampMs >= stampMs) {
                return;
            }
            const untilMs = nowMs + QUOTA_VOTE_VALIDITY_MS * CLOCK_RATE_MARGIN_FACTOR;
            bound = { issuerId, stampMs, untilMs };
        },
    };
};
