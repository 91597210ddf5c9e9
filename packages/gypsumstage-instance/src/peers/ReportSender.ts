import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";

/** Sends this instance's reports to others. */
export interface ReportSender {
    /** Sends reports to the next part of the contacts, and to instances that are doubtful or not known yet. */
    readonly sendBatch: () => void;
    /** Sends a report to an instance that wants one. */
    readonly reply: (report: Pick<PeerReport, "internalAddress">) => void;
    /** Returns the instances that got reports in the latest batches. */
    readonly contacts: () => readonly MemberRecord[];
    /** Returns the time between two reports to a contact, in milliseconds. */
    readonly intervalMs: () => number;
}
