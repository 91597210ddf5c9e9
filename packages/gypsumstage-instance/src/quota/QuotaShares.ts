import type { QuotaStamp } from "./QuotaStamp.js";

/** Response to a `QuotaDivideQuery`: shares of the caps of the group, 0 to 1. */
export interface QuotaShares extends QuotaStamp {
    /** Share of each cap that is not in `shares`. */
    readonly evenShare: number;
    readonly shares: Readonly<Record<string, number>>;
}
