import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";

/** The report of an instance without what the exchange adds. */
export type OwnReport = Omit<PeerReport, "generation" | "version" | "isToContact" | "isReplyWanted">;
