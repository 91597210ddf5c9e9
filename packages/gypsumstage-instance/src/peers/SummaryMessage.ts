import type { DataCentreSummary } from "@gypsumstage/steering/traffic/DataCentreSummary";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";

/** Parameters of the JSON-RPC notification `peer.summaries`. */
export interface SummaryMessage {
    readonly sender: MemberRecord;
    /** Summaries of the sender's data centre and of some others. */
    readonly summaries: readonly DataCentreSummary[];
}
