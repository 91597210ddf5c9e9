import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { chooseReportContacts } from "@gypsumstage/steering/traffic/chooseReportContacts";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import { computeReportIntervalMs } from "./computeReportIntervalMs.js";
import { createReportRotation } from "./createReportRotation.js";
import type { Introductions } from "./Introductions.js";
import type { Membership } from "./Membership.js";
import type { OwnReport } from "./OwnReport.js";
import type { PeerRegistry } from "./PeerRegistry.js";
import type { PeerSocket } from "./PeerSocket.js";
import type { ReportSender } from "./ReportSender.js";

const listAddresses = (peers: readonly PeerState[]): readonly string[] =>
    peers.map(peer => peer.report.internalAddress);

/**
 * Creates the sender of reports. Contacts get them in turn; instances of earlier builds get them too, with the names of others.
 *
 * @param createReport - creates this instance's report, given internal addresses of other instances
 * @param membership - this instance's record, and those of the others
 * @param registry - the other instances
 * @param introductions - addresses of instances that are not known yet
 * @param batchIntervalMs - time between two batches, in milliseconds
 * @param getSocket - returns the socket, once it is bound
 * @returns the sender
 */
export const createReportSender = (
    createReport: (peers: readonly string[]) => OwnReport,
    membership: Pick<Membership, "own" | "updateOwn" | "records" | "listDoubtful" | "find">,
    registry: Pick<PeerRegistry, "all" | "size" | "live" | "legacy">,
    introductions: Pick<Introductions, "next">,
    batchIntervalMs: number,
    getSocket: () => Pick<PeerSocket, "send">,
): ReportSender => {
    let contacts: readonly MemberRecord[] = [];
    const getIntervalMs = (count: number): number => computeReportIntervalMs(count, registry.size());
    /** Updated with each batch, as the liveness of each instance is judged by it. */
    let intervalMs = getIntervalMs(0);
    const rotation = createReportRotation(batchIntervalMs, getIntervalMs);
    const createFullReport = (flags: Pick<PeerReport, "isToContact" | "isReplyWanted">): PeerReport => {
        const { generation, version } = membership.own();
        const listed = registry.legacy().length > 0
            ? rotation.nextListed(listAddresses(registry.all()))
            : [];
        return { ...createReport(listed), generation, version, ...flags };
    };
    const updateContacts = (): void => {
        const { isReady, cutServices, isUnconfirmed, dataCentre, name, region } = createReport([]);
        membership.updateOwn({ isReady, cutServices: cutServices ?? [], isUnconfirmed });
        contacts = chooseReportContacts(
            { dataCentre, name, region },
            membership.records().filter(record => !record.isGone),
        );
    };
    const sendToContacts = (): readonly string[] => {
        const addresses = [
            ...contacts.map(contact => contact.internalAddress),
            ...listAddresses(registry.legacy()),
        ];
        intervalMs = getIntervalMs(addresses.length);
        const targets = rotation.nextTargets(addresses);
        getSocket().send("peer.report", createFullReport({ isToContact: true }), targets);
        return targets;
    };
    const askUncertain = (alreadySent: readonly string[]): void => {
        const doubtful = membership.listDoubtful(monotonicNow())
            .map(each => membership.find(each)?.internalAddress)
            .filter(address => address !== undefined);
        const introduced = introductions.next(
            new Set(listAddresses(registry.all())),
            registry.live().length > 0,
        );
        const asked = [...doubtful, ...introduced].filter(address => !alreadySent.includes(address));
        if (asked.length > 0) {
            getSocket().send("peer.report", createFullReport({ isReplyWanted: true }), asked);
        }
    };
    return {
        sendBatch: () => {
            updateContacts();
            askUncertain(sendToContacts());
        },
        reply: ({ internalAddress }) =>
            getSocket().send("peer.report", createFullReport({}), [internalAddress]),
        contacts: () => contacts,
        intervalMs: () => intervalMs,
    };
};
