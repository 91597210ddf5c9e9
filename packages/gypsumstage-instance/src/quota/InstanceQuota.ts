import type { QuotaHandlers } from "./QuotaHandlers.js";
import type { UsageCaps } from "./UsageCaps.js";

/** The part of one instance in keeping usage caps. */
export interface InstanceQuota {
    readonly caps: UsageCaps;
    readonly handlers: QuotaHandlers;
    /** Updates the instances among which caps are divided, and passes this instance's vote to the issuer. */
    readonly vote: () => Promise<void>;
    /** Requests shares from the issuer for each group of which this instance is the distributor. */
    readonly divide: () => Promise<void>;
}
