import type { PeerTable } from "./PeerTable.js";
import type { TopicAnnouncement } from "./TopicAnnouncement.js";

/**
 * Records an announcement of another instance. One of an instance or incarnation without a recorded report is ignored.
 *
 * @param peers - the table so far
 * @param announcement - the received announcement
 * @param nowMs - current monotonic time
 * @returns the next table; the same object when the announcement is ignored
 */
export const recordTopicAnnouncement = (
    peers: PeerTable,
    announcement: TopicAnnouncement,
    nowMs: number,
): PeerTable => {
    const peer = peers.get(announcement.name);
    if (peer === undefined || peer.report.incarnation !== announcement.incarnation) {
        return peers;
    }
    const { isReady, topics, storeAgeMs } = announcement;
    const report = { ...peer.report, isReady, topics, storeAgeMs };
    return new Map([...peers, [announcement.name, { ...peer, report, heardAtMs: nowMs }]]);
};
