import type { PeerReport } from "./PeerReport.js";

/** The latest report of another instance, with the monotonic time of its receipt in milliseconds. */
export interface PeerState {
    readonly report: PeerReport;
    readonly receivedAtMs: number;
}
