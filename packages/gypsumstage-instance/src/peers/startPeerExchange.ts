import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { chooseAtRandom } from "@gypsumstage/steering/traffic/chooseAtRandom";
import { chooseReportContacts } from "@gypsumstage/steering/traffic/chooseReportContacts";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import type { PeerTable } from "@gypsumstage/steering/traffic/PeerTable";
import { recordMember } from "@gypsumstage/steering/traffic/recordMember";
import { recordPeerReport } from "@gypsumstage/steering/traffic/recordPeerReport";
import { recordTopicAnnouncement } from "@gypsumstage/steering/traffic/recordTopicAnnouncement";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import { createIntroductions } from "./createIntroductions.js";
import { createMemberFetch } from "./createMemberFetch.js";
import { createMembership } from "./createMembership.js";
import { createPeerLog } from "./createPeerLog.js";
import { createReportRotation } from "./createReportRotation.js";
import { NOTICES_METHOD } from "./NOTICES_METHOD.js";
import { openPeerSocket } from "./openPeerSocket.js";
import type { PeerExchange } from "./PeerExchange.js";
import type { PeerMessage } from "./PeerMessage.js";
import { registerSummaries } from "./registerSummaries.js";
import { sumInFlight } from "./sumInFlight.js";
import { SUMMARIES_METHOD } from "./SUMMARIES_METHOD.js";
import { toMemberRecord } from "./toMemberRecord.js";
import { TOPICS_METHOD } from "./TOPICS_METHOD.js";

/** Shortest time between two reports to a contact. */
const MIN_REPORT_INTERVAL_MS = 100;
/** Longest time between two reports to a contact, unless there are very many. */
const MAX_REPORT_INTERVAL_MS = 300;
/** Time between two reports per instance of the fleet, and at least per contact, which bounds the load of sending. */
const REPORT_INTERVAL_PER_PEER_MS = 12;
/** Time between two batches of reports. Each batch goes to the next part of the contacts. */
const BATCH_INTERVAL_MS = 100;
/** Shortest time without a report after which a contact is gone. */
const MIN_LIVENESS_TIMEOUT_MS = 1_200;
/** Report intervals without a report after which a contact is gone. */
const LIVENESS_TIMEOUT_INTERVALS = 4;
/** Report intervals after which a contact's reported requests in flight are no longer counted. */
const MAX_IN_FLIGHT_AGE_INTERVALS = 3;
/** Time from the start until this instance has found the others through the seeds, in a fleet that starts as a whole. */
const SETTLE_MS = 1_000;

/** The report of an instance without what the exchange adds. */
type OwnReport = Omit<PeerReport, "generation" | "version" | "isToContact" | "isReplyWanted">;

const isLegacy = ({ report }: PeerState): boolean => report.generation === undefined;

/**
 * Exchanges what instances know of each other, by datagram. Each sends full reports to its contacts, which notice when they stop, and
 * a few times a second a summary of its data centre to some other instance; who is gone is spread as a notice. So neither the
 * messages of an instance nor the time until all know of a death grow with the fleet. Instances of earlier builds, whose reports have
 * no generation, get full reports of all.
 *
 * @param seeds - internal addresses of instances through which this one finds the others
 * @param createReport - creates this instance's report, given internal addresses of other instances
 * @param rpc - client for RPC calls to other instances
 * @param metrics - receives the bytes of messages and the time between reports of a peer
 * @param log - receives found and lost peers, malformed messages and socket errors
 * @returns the exchange, once the socket is bound
 */
export const startPeerExchange = async (
    seeds: readonly string[],
    createReport: (peers: readonly string[]) => OwnReport,
    rpc: Pick<RpcClient, "call">,
    metrics: Pick<InstanceMetrics, "countReportBytes" | "recordReportGap">,
    log: Log,
): Promise<PeerExchange> => {
    let peers: PeerTable = new Map();
    let inFlightTotals: ReadonlyMap<string, number> = new Map();
    const noticeListeners = new Set<Parameters<PeerExchange["registerNoticeListener"]>[0]>();
    const startedAtMs = monotonicNow();
    const isSettled = (): boolean => monotonicNow() - startedAtMs >= SETTLE_MS;
    const firstReport = { ...createReport([]), generation: Date.now(), version: 0 };
    const { internalAddress } = firstReport;
    const getRoundMs = (contacts: number): number =>
        Math.max(
            MIN_REPORT_INTERVAL_MS,
            REPORT_INTERVAL_PER_PEER_MS * (contacts + 1),
            Math.min(MAX_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_PEER_MS * (peers.size + 1)),
        );
    let contacts: readonly MemberRecord[] = [];
    const listLegacy = (): readonly PeerState[] => [...peers.values()].filter(isLegacy);
    /** Updated with each batch, as the liveness of each instance is judged by it. */
    let reportIntervalMs = MIN_REPORT_INTERVAL_MS;
    const livenessTimeoutMs = (): number =>
        Math.max(MIN_LIVENESS_TIMEOUT_MS, LIVENESS_TIMEOUT_INTERVALS * reportIntervalMs);
    const tellContradicted = (record: MemberRecord): void =>
        socket.send(
            NOTICES_METHOD,
            { notices: [{ topic: "members", content: record }] },
            [record.internalAddress],
        );
    const membership = createMembership(
        toMemberRecord(firstReport) as MemberRecord,
        livenessTimeoutMs,
        tellContradicted,
        monotonicNow,
        Math.random,
        log,
    );
    const isHeardLately = (peer: PeerState): boolean =>
        monotonicNow() - peer.heardAtMs <= livenessTimeoutMs();
    const isLive = (peer: PeerState): boolean =>
        isLegacy(peer) ? isHeardLately(peer) : membership.isLive(peer.report.name, monotonicNow());
    const live = (): readonly PeerState[] => [...peers.values()].filter(isLive);
    const listReporting = (): readonly PeerState[] =>
        live().filter(peer => monotonicNow() - peer.receivedAtMs <= livenessTimeoutMs());
    const syncMembers = (): void => {
        const nowMs = monotonicNow();
        membership.records().forEach(record => peers = recordMember(peers, record, nowMs));
    };
    const peerLog = createPeerLog(log);
    const introductions = createIntroductions(seeds, internalAddress);
    const createFullReport = (flags: Pick<PeerReport, "isToContact" | "isReplyWanted">): PeerReport => {
        const { generation, version } = membership.own();
        const listed = listLegacy().length > 0
            ? rotation.nextListed([...peers.values()].map(peer => peer.report.internalAddress))
            : [];
        return { ...createReport(listed), generation, version, ...flags };
    };
    const receiveReport = (report: PeerReport, nowMs: number): void => {
        const before = peers.get(report.name);
        if (before !== undefined && nowMs - before.receivedAtMs < Infinity) {
            metrics.recordReportGap(nowMs - before.receivedAtMs);
        }
        introductions.add(report.peers);
        membership.hear(report, nowMs);
        peers = recordPeerReport(peers, report, nowMs);
        if (report.isReplyWanted === true) {
            socket.send("peer.report", createFullReport({}), [report.internalAddress]);
        }
    };
    const receive = (message: PeerMessage): void => {
        const nowMs = monotonicNow();
        switch (message.kind) {
            case "report":
                receiveReport(message.report, nowMs);
                return;
            case "summaries":
                membership.receiveSummaries(message.message, nowMs).forEach(memberFetch.request);
                syncMembers();
                return;
            case "announcement":
                peers = recordTopicAnnouncement(peers, message.announcement, nowMs);
                return;
            case "notices":
                noticeListeners.forEach(listener => listener(message.notices));
                syncMembers();
        }
    };
    const memberFetch = createMemberFetch(rpc, membership, syncMembers, log);
    const rotation = createReportRotation(BATCH_INTERVAL_MS, getRoundMs);
    const socket = await openPeerSocket(internalAddress, receive, metrics, log);
    const sendReports = (): void => {
        const { isReady, cutServices, isUnconfirmed, dataCentre, name, region } = createReport([]);
        membership.updateOwn({ isReady, cutServices: cutServices ?? [], isUnconfirmed });
        contacts = chooseReportContacts(
            { dataCentre, name, region },
            membership.records().filter(record => !record.isGone),
        );
        const addresses = [
            ...contacts.map(contact => contact.internalAddress),
            ...listLegacy().map(peer => peer.report.internalAddress),
        ];
        reportIntervalMs = getRoundMs(addresses.length);
        const targets = rotation.nextTargets(addresses);
        socket.send("peer.report", createFullReport({ isToContact: true }), targets);
        const doubtful = membership.listDoubtful(monotonicNow())
            .map(each => membership.find(each)?.internalAddress)
            .filter(address => address !== undefined);
        const known = new Set([...peers.values()].map(peer => peer.report.internalAddress));
        const introduced = introductions.next(known, live().length > 0);
        const asked = [...doubtful, ...introduced].filter(address => !targets.includes(address));
        if (asked.length > 0) {
            socket.send("peer.report", createFullReport({ isReplyWanted: true }), asked);
        }
    };
    let timer: NodeJS.Timeout;
    let nextSummaryAtMs = 0;
    const tick = (): void => {
        const nowMs = monotonicNow();
        membership.missSilent(nowMs);
        sendReports();
        if (!isSettled() || contacts.length === 0) {
            memberFetch.requestOwn(introductions.firstSeed());
        }
        if (nowMs >= nextSummaryAtMs) {
            nextSummaryAtMs = nowMs + reportIntervalMs;
            inFlightTotals = sumInFlight(
                [...peers.values()],
                nowMs,
                MAX_IN_FLIGHT_AGE_INTERVALS * reportIntervalMs,
            );
            peerLog.update(live().map(peer => peer.report.name));
        }
        timer = setTimeout(tick, BATCH_INTERVAL_MS);
    };
    timer = setTimeout(tick, 0);
    const sumDemand = (): Readonly<Record<string, number>> => {
        const { dataCentre } = membership.own();
        const reports = [
            createReport([]),
            ...listReporting().map(peer => peer.report).filter(report => report.dataCentre === dataCentre),
        ];
        const totals: Record<string, number> = {};
        for (const [service, count] of reports.flatMap(report => Object.entries(report.demand))) {
            totals[service] = (totals[service] ?? 0) + count;
        }
        return totals;
    };
    const stopSummaries = registerSummaries(() => {
        const { dataCentre } = membership.own();
        const others = membership.records().filter(record =>
            record.dataCentre !== dataCentre && !record.isGone
        );
        const targets = chooseAtRandom(others, 1, Math.random).map(record => record.internalAddress);
        socket.send(SUMMARIES_METHOD, membership.createSummaries(sumDemand(), monotonicNow()), targets);
    });
    return {
        live,
        all: () => [...peers.values()],
        reporting: listReporting,
        summaries: () => membership.listSummaries(monotonicNow()),
        readMembers: ({ dataCentre }) => membership.readDataCentre(dataCentre),
        membersTopic: membership.topic,
        announce: (announcement, targets) =>
            socket.send(TOPICS_METHOD, announcement, targets.map(peer => peer.report.internalAddress)),
        notify: (notices, target) =>
            socket.send(NOTICES_METHOD, { notices }, [target.report.internalAddress]),
        registerNoticeListener: listener => {
            noticeListeners.add(listener);
            return () => {
                noticeListeners.delete(listener);
            };
        },
        isSettled,
        fleetSize: () => peers.size + 1,
        inFlight: endpointId => inFlightTotals.get(endpointId) ?? 0,
        stop: () => {
            clearTimeout(timer);
            stopSummaries();
            memberFetch.stop();
            socket.close();
        },
    };
};
