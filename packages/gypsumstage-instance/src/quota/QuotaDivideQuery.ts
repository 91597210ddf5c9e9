import type { QuotaVote } from "@gypsumstage/steering/traffic/QuotaVote";

/** Parameters of the RPC method `quota.divide`, by which a distributor requests its shares of the caps of a group. */
export interface QuotaDivideQuery {
    /** Name of the distributor. */
    readonly distributor: string;
    /** Number of the group of workspaces. */
    readonly group: number;
    /** Votes that were passed to it. */
    readonly votes: readonly QuotaVote[];
    /** Its demand by workspace, in requests per second; absent when there is none. */
    readonly demand: Readonly<Record<string, number>>;
}
