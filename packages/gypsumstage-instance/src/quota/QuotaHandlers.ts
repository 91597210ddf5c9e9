import type { QuotaDivideQuery } from "./QuotaDivideQuery.js";
import type { QuotaGrant } from "./QuotaGrant.js";
import type { QuotaQuery } from "./QuotaQuery.js";
import type { QuotaShares } from "./QuotaShares.js";
import type { QuotaStamp } from "./QuotaStamp.js";
import type { QuotaVoteQuery } from "./QuotaVoteQuery.js";

/** Handlers of the RPC methods by which instances keep usage caps together. */
export interface QuotaHandlers {
    readonly "quota.issue": (query: QuotaQuery) => QuotaGrant;
    /** Responds with the issuer's latest stamp; with nothing while the distributor has none. */
    readonly "quota.vote": (query: QuotaVoteQuery) => QuotaStamp | Record<string, never>;
    readonly "quota.divide": (query: QuotaDivideQuery) => QuotaShares;
}
