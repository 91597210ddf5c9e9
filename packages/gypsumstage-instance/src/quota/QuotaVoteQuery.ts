import type { QuotaVote } from "@gypsumstage/steering/traffic/QuotaVote";

/** Parameters of the RPC method `quota.vote`, by which an instance passes its vote to the issuer through a distributor. */
export interface QuotaVoteQuery {
    /** Absent while the instance may not vote. */
    readonly vote?: QuotaVote;
}
