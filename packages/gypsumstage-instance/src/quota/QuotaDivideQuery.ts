import type { QuotaVote } from "@gypsumstage/steering/traffic/QuotaVote";
import type { QuotaStamp } from "./QuotaStamp.js";

/** Parameters of the RPC method `quota.divide`, by which a distributor requests its shares of the caps of a group. */
export interface QuotaDivideQuery {
    /** Name of the distributor. */
    readonly distributor: string;
    /** Number of the group of workspaces. */
    readonly group: number;
    /** The response that it acts on; it uses no share of an earlier one any more. Absent when there is none. */
    readonly applied?: QuotaStamp;
    /** Votes that were passed to it. */
    readonly votes: readonly QuotaVote[];
    /** Its demand by workspace, in requests per second; absent when there is none. */
    readonly demand: Readonly<Record<string, number>>;
}
