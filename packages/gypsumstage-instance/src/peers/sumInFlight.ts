import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";

/**
 * Sums the requests in flight that other instances reported.
 *
 * @param peers - the instances
 * @param nowMs - current monotonic time
 * @param maxAgeMs - age of a report up to which it counts, in milliseconds
 * @returns requests in flight by endpoint id
 */
export const sumInFlight = (
    peers: readonly PeerState[],
    nowMs: number,
    maxAgeMs: number,
): ReadonlyMap<string, number> => {
    const totals = new Map<string, number>();
    const reports = peers.filter(peer => nowMs - peer.receivedAtMs <= maxAgeMs).map(peer => peer.report);
    for (const [id, count] of reports.flatMap(report => Object.entries(report.inFlight))) {
        totals.set(id, (totals.get(id) ?? 0) + count);
    }
    return totals;
};
