import type { QuotaVote } from "@gypsumstage/steering/traffic/QuotaVote";
import type { QuotaDivideQuery } from "./QuotaDivideQuery.js";
import type { QuotaGrant } from "./QuotaGrant.js";
import type { QuotaQuery } from "./QuotaQuery.js";
import type { QuotaShares } from "./QuotaShares.js";
import type { QuotaStamp } from "./QuotaStamp.js";

/** Grants the permits of a group of workspaces from the shares of their caps that the issuer granted. */
export interface QuotaDistributor {
    readonly issue: (query: QuotaQuery) => QuotaGrant;
    /** Records a vote, to be passed on with the next exchange. */
    readonly recordVote: (vote: QuotaVote) => void;
    /** Returns the latest stamp of the issuer; undefined when it has not responded lately. */
    readonly stamp: () => QuotaStamp | undefined;
    readonly createQuery: () => QuotaDivideQuery;
    /** Takes over shares, given when the query for them was sent. */
    readonly applyShares: (shares: QuotaShares, sentAtMs: number) => void;
}
