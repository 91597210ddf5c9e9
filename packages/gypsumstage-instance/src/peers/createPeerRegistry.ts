import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { PeerTable } from "@gypsumstage/steering/traffic/PeerTable";
import { recordMember } from "@gypsumstage/steering/traffic/recordMember";
import { recordPeerReport } from "@gypsumstage/steering/traffic/recordPeerReport";
import { recordTopicAnnouncement } from "@gypsumstage/steering/traffic/recordTopicAnnouncement";
import type { Membership } from "./Membership.js";
import type { PeerRegistry } from "./PeerRegistry.js";

const isLegacy = ({ report }: PeerState): boolean => report.generation === undefined;

/**
 * Creates the registry of the other instances.
 *
 * @param membership - decides which instances are live, except those of builds that know no membership
 * @param livenessTimeoutMs - returns the time without a report after which an instance is silent, in milliseconds
 * @returns the registry, without instances
 */
export const createPeerRegistry = (
    membership: Pick<Membership, "isLive" | "records">,
    livenessTimeoutMs: () => number,
): PeerRegistry => {
    let peers: PeerTable = new Map();
    const isWithinTimeout = (atMs: number): boolean => monotonicNow() - atMs <= livenessTimeoutMs();
    const isLive = (peer: PeerState): boolean =>
        isLegacy(peer)
            ? isWithinTimeout(peer.heardAtMs)
            : membership.isLive(peer.report.name, monotonicNow());
    const all = (): readonly PeerState[] => [...peers.values()];
    const live = (): readonly PeerState[] => all().filter(isLive);
    return {
        all,
        size: () => peers.size,
        live,
        reporting: () => live().filter(peer => isWithinTimeout(peer.receivedAtMs)),
        legacy: () => all().filter(isLegacy),
        find: name => peers.get(name),
        recordReport: (report, nowMs) => {
            peers = recordPeerReport(peers, report, nowMs);
        },
        recordAnnouncement: (announcement, nowMs) => {
            peers = recordTopicAnnouncement(peers, announcement, nowMs);
        },
        syncMembers: () => {
            const nowMs = monotonicNow();
            membership.records().forEach(record => peers = recordMember(peers, record, nowMs));
        },
    };
};
