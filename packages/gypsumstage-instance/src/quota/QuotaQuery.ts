import type { UsageCap } from "./UsageCap.js";

/** Parameters of the RPC method `quota.issue`, by which an instance requests permits of a workspace from their distributor. */
export interface QuotaQuery {
    /** The cap as the sender knows it. */
    readonly cap: UsageCap;
    /** Name of the instance that requests them. */
    readonly holder: string;
    /** Attempts that wait for a permit. */
    readonly waiting: number;
    /** Permits for attempts that are expected soon. */
    readonly prefetched: number;
    /** All attempts since the last query, by which the demand is counted. */
    readonly attempts: number;
    /** Those of them that were refused without asking. */
    readonly refused: number;
}
