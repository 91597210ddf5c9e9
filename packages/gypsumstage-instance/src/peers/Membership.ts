import type { DataCentreSummary } from "@gypsumstage/steering/traffic/DataCentreSummary";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { NoticeTopic } from "../notices/NoticeTopic.js";
import type { SummaryMessage } from "./SummaryMessage.js";

/** What this instance knows of the others, and how it learns it. Times are monotonic, in milliseconds. */
export interface Membership {
    /** This instance's own record. */
    readonly own: () => MemberRecord;
    /** Takes over what changed in this instance since the last call. */
    readonly updateOwn: (changes: Pick<MemberRecord, "isReady" | "cutServices" | "isUnconfirmed">) => void;
    /** Records of all other instances, those that are gone included. */
    readonly records: () => readonly MemberRecord[];
    readonly find: (name: string) => MemberRecord | undefined;
    readonly isLive: (name: string, nowMs: number) => boolean;
    /** Records a report of another instance. */
    readonly hear: (report: PeerReport, nowMs: number) => void;
    /** Names of the instances whose reports have stopped for a while and that are asked whether they live. */
    readonly listDoubtful: (nowMs: number) => readonly string[];
    /** Takes instances for gone whose reports have stopped for too long. */
    readonly missSilent: (nowMs: number) => void;
    /** Merges records that another instance told. */
    readonly merge: (records: readonly MemberRecord[], nowMs: number) => void;
    /** Merges all that an instance of a data centre knows of it; what it does not know any more is gone. */
    readonly mergeDataCentre: (dataCentre: string, records: readonly MemberRecord[], nowMs: number) => void;
    /** Records a message with summaries; returns those of data centres of which this instance knows something else. */
    readonly receiveSummaries: (message: SummaryMessage, nowMs: number) => readonly DataCentreSummary[];
    /** Creates a message with the summary of this data centre and some others. */
    readonly createSummaries: (demand: DataCentreSummary["demand"], nowMs: number) => SummaryMessage;
    /** Summaries of the data centres that were heard lately, this one excluded. */
    readonly listSummaries: (nowMs: number) => readonly DataCentreSummary[];
    /** Records of the instances of a data centre, this one included where it belongs there. */
    readonly readDataCentre: (dataCentre: string) => readonly MemberRecord[];
    /** Spreads that instances are gone or not ready. */
    readonly topic: NoticeTopic;
}
