import type { PeerReport } from "./PeerReport.js";

/** What another instance told last. Times are monotonic, in milliseconds. */
export interface PeerState {
    /** Its latest report, with what later announcements changed. */
    readonly report: PeerReport;
    /** When the report was received. */
    readonly receivedAtMs: number;
    /** When the report or the latest announcement was received. */
    readonly heardAtMs: number;
}
