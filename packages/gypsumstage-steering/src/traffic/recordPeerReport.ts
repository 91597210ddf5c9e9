import type { PeerReport } from "./PeerReport.js";
import type { PeerTable } from "./PeerTable.js";

/** Time without a report after which an instance whose build knows no membership is removed from the table. */
const PEER_EXPIRY_MS = 30_000;

/**
 * Records the report of another instance, and removes those whose build knows no membership and that sent none for
 * `PEER_EXPIRY_MS`.
 *
 * @param peers - the table so far
 * @param report - the received report
 * @param nowMs - current monotonic time
 * @returns the next table
 */
export const recordPeerReport = (peers: PeerTable, report: PeerReport, nowMs: number): PeerTable => {
    const unexpired = [...peers].filter(([, peer]) =>
        peer.report.generation !== undefined || nowMs - peer.receivedAtMs < PEER_EXPIRY_MS
    );
    return new Map([...unexpired, [report.name, { report, receivedAtMs: nowMs, heardAtMs: nowMs }]]);
};
