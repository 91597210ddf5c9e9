import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { DiscoveryStore } from "../discovery/DiscoveryStore.js";
import { startDiscovery } from "../discovery/startDiscovery.js";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import { createFleetKnowledge } from "./createFleetKnowledge.js";
import { createIntroductions } from "./createIntroductions.js";
import { createLocalMemberFetch } from "./createLocalMemberFetch.js";
import { createMemberFetch } from "./createMemberFetch.js";
import { createMembership } from "./createMembership.js";
import { createPeerLog } from "./createPeerLog.js";
import { createPeerRegistry } from "./createPeerRegistry.js";
import { createReportSender } from "./createReportSender.js";
import { NOTICES_METHOD } from "./NOTICES_METHOD.js";
import { openPeerSocket } from "./openPeerSocket.js";
import type { OwnReport } from "./OwnReport.js";
import type { PeerExchange } from "./PeerExchange.js";
import type { PeerMessage } from "./PeerMessage.js";
import { registerSummarySending } from "./registerSummarySending.js";
import { sumInFlight } from "./sumInFlight.js";
import { toMemberRecord } from "./toMemberRecord.js";
import { TOPICS_METHOD } from "./TOPICS_METHOD.js";

/** Time between two batches of reports. Each batch goes to the next part of the contacts. */
const BATCH_INTERVAL_MS = 100;
/** Shortest time without a report after which a contact is gone. */
const MIN_LIVENESS_TIMEOUT_MS = 1_200;
/** Report intervals without a report after which a contact is gone. */
const LIVENESS_TIMEOUT_INTERVALS = 4;
/** Report intervals after which a contact's reported requests in flight are no longer counted. */
const MAX_IN_FLIGHT_AGE_INTERVALS = 3;
/**
 * Exchanges what instances know of each other, by datagram. Each sends full reports to its contacts, which notice when they stop, and
 * a few times a second a summary of its data centre to some other instance; who is gone is spread as a notice. So neither the
 * messages of an instance nor the time until all know of a death grow with the fleet. Instances of earlier builds, whose reports have
 * no generation, get full reports of all.
 *
 * @param getSeeds - returns the internal addresses of instances through which this one finds the others, by the present settings
 * @param createReport - creates this instance's report, given internal addresses of other instances
 * @param discoveryStore - tells where the fleet can be found when the seeds are gone
 * @param rpc - client for RPC calls to other instances
 * @param metrics - receives the bytes of messages and the time between reports of a peer
 * @param log - receives found and lost peers, malformed messages and socket errors
 * @returns the exchange, once the socket is bound
 */
export const startPeerExchange = async (
    getSeeds: () => readonly string[],
    createReport: (peers: readonly string[]) => OwnReport,
    discoveryStore: Pick<DiscoveryStore, "read" | "write">,
    rpc: Pick<RpcClient, "call">,
    metrics: Pick<InstanceMetrics, "countReportBytes" | "recordReportGap">,
    log: Log,
): Promise<PeerExchange> => {
    let inFlightTotals: ReadonlyMap<string, number> = new Map();
    const noticeListeners = new Set<Parameters<PeerExchange["registerNoticeListener"]>[0]>();
    const firstReport = { ...createReport([]), generation: Date.now(), version: 0 };
    const { internalAddress } = firstReport;
    const livenessTimeoutMs = (): number =>
        Math.max(MIN_LIVENESS_TIMEOUT_MS, LIVENESS_TIMEOUT_INTERVALS * sender.intervalMs());
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
    const registry = createPeerRegistry(membership, livenessTimeoutMs);
    const introductions = createIntroductions(getSeeds, internalAddress);
    const sender = createReportSender(
        createReport,
        membership,
        registry,
        introductions,
        BATCH_INTERVAL_MS,
        () => socket,
    );
    const memberFetch = createMemberFetch(rpc, membership, registry.syncMembers, log);
    const listLiveAddresses = (): readonly string[] =>
        registry.live().map(peer => peer.report.internalAddress);
    const knowledge = createFleetKnowledge(
        getSeeds,
        internalAddress,
        () => discovery.isConfirmedAlone(),
    );
    const localMembers = createLocalMemberFetch(
        memberFetch,
        () => !knowledge.hasJoined() || sender.contacts().length === 0,
        listLiveAddresses,
        introductions.firstSeed,
    );
    const receiveReport = (report: PeerReport, nowMs: number): void => {
        const before = registry.find(report.name);
        if (before === undefined && report.dataCentre === firstReport.dataCentre) {
            localMembers.meet(report.internalAddress);
        }
        if (before !== undefined && nowMs - before.receivedAtMs < Infinity) {
            metrics.recordReportGap(nowMs - before.receivedAtMs);
        }
        introductions.add(report.peers);
        membership.hear(report, nowMs);
        registry.recordReport(report, nowMs);
        if (report.isReplyWanted === true) {
            sender.reply(report);
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
                registry.syncMembers();
                return;
            case "announcement":
                registry.recordAnnouncement(message.announcement, nowMs);
                return;
            case "notices":
                noticeListeners.forEach(listener => listener(message.notices));
                registry.syncMembers();
        }
    };
    const socket = await openPeerSocket(internalAddress, receive, metrics, log);
    const peerLog = createPeerLog(log);
    const summarize = (nowMs: number): void => {
        const maxAgeMs = MAX_IN_FLIGHT_AGE_INTERVALS * sender.intervalMs();
        inFlightTotals = sumInFlight(registry.all(), nowMs, maxAgeMs);
        peerLog.update(registry.live().map(peer => peer.report.name));
    };
    let timer: NodeJS.Timeout;
    let nextSummaryAtMs = 0;
    const tick = (): void => {
        const nowMs = monotonicNow();
        membership.missSilent(nowMs);
        sender.sendBatch();
        knowledge.update(registry.size(), nowMs);
        localMembers.fetchIfNeeded();
        if (nowMs >= nextSummaryAtMs) {
            nextSummaryAtMs = nowMs + sender.intervalMs();
            summarize(nowMs);
        }
        timer = setTimeout(tick, BATCH_INTERVAL_MS);
    };
    timer = setTimeout(tick, 0);
    const discovery = startDiscovery({
        store: discoveryStore,
        ownAddress: internalAddress,
        live: listLiveAddresses,
        isReader: () => createReport([]).storeAgeMs !== undefined,
        introduce: introductions.retry,
        log,
    });
    const stopSummaries = registerSummarySending(createReport, membership, registry, socket);
    return {
        live: registry.live,
        all: registry.all,
        reporting: registry.reporting,
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
        isSettled: knowledge.isSettled,
        fleetSize: () => knowledge.isSizeKnown() ? registry.size() + 1 : undefined,
        inFlight: endpointId => inFlightTotals.get(endpointId) ?? 0,
        stop: () => {
            clearTimeout(timer);
            discovery.stop();
            stopSummaries();
            memberFetch.stop();
            socket.close();
        },
    };
};
