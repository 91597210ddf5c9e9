import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { listLivePeers } from "@gypsumstage/steering/traffic/listLivePeers";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { PeerTable } from "@gypsumstage/steering/traffic/PeerTable";
import { recordPeerReport } from "@gypsumstage/steering/traffic/recordPeerReport";
import { recordTopicAnnouncement } from "@gypsumstage/steering/traffic/recordTopicAnnouncement";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import { createReportRotation } from "./createReportRotation.js";
import { NOTICES_METHOD } from "./NOTICES_METHOD.js";
import { openPeerSocket } from "./openPeerSocket.js";
import type { PeerExchange } from "./PeerExchange.js";
import type { PeerMessage } from "./PeerMessage.js";
import { TOPICS_METHOD } from "./TOPICS_METHOD.js";

/** Shortest time between two reports. */
const MIN_REPORT_INTERVAL_MS = 100;
/** Time between two reports per instance of the fleet, which bounds the load of sending in a large fleet. */
const REPORT_INTERVAL_PER_PEER_MS = 12;
/** Time between two batches of reports. Each batch goes to the next part of the peers. */
const BATCH_INTERVAL_MS = 100;
/** Shortest time without a report after which a peer no longer counts as live. */
const MIN_LIVENESS_TIMEOUT_MS = 1_200;
/** Report intervals without a report after which a peer no longer counts as live. */
const LIVENESS_TIMEOUT_INTERVALS = 4;
/** Report intervals after which a peer's reported requests in flight are no longer counted. */
const MAX_IN_FLIGHT_AGE_INTERVALS = 3;

/** Time from the start until this instance has found the others through the seeds, in a fleet that starts as a whole. */
const SETTLE_MS = 1_000;

const getRoundMs = (peers: number): number =>
    Math.max(MIN_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_PEER_MS * (peers + 1));

/**
 * Sends reports on this instance to its peers by datagram, and receives theirs. Each peer gets one a report interval; the
 * reports are spread over that interval. New instances are discovered through the seeds and through the peer addresses in
 * each report.
 *
 * @param internalAddress - `IP:port` at which this instance receives reports
 * @param seeds - internal addresses that get reports while no report of a peer is recorded
 * @param createReport - creates this instance's report, given internal addresses of live peers
 * @param metrics - receives the bytes of reports and the time between reports of a peer
 * @param log - receives found and lost peers, malformed reports and socket errors
 * @returns the exchange, once the socket is bound
 */
export const startPeerExchange = async (
    internalAddress: string,
    seeds: readonly string[],
    createReport: (peers: readonly string[]) => PeerReport,
    metrics: Pick<InstanceMetrics, "countReportBytes" | "recordReportGap">,
    log: Log,
): Promise<PeerExchange> => {
    let peers: PeerTable = new Map();
    let inFlightTotals: ReadonlyMap<string, number> = new Map();
    const unconfirmedAddresses = new Set<string>(seeds);
    const loggedNames = new Set<string>();
    const noticeListeners = new Set<Parameters<PeerExchange["registerNoticeListener"]>[0]>();
    const startedAtMs = monotonicNow();
    const isSettled = (): boolean => monotonicNow() - startedAtMs >= SETTLE_MS;
    const reportIntervalMs = (): number => getRoundMs(peers.size);
    const live = (): ReturnType<PeerExchange["live"]> =>
        listLivePeers(
            peers,
            monotonicNow(),
            Math.max(MIN_LIVENESS_TIMEOUT_MS, LIVENESS_TIMEOUT_INTERVALS * reportIntervalMs()),
        );
    const logPeerChanges = (): void => {
        const liveNames = new Set(live().map(peer => peer.report.name));
        for (const name of [...liveNames].filter(each => !loggedNames.has(each))) {
            loggedNames.add(name);
            log("info", "peer-regained", { peer: name });
        }
        for (const name of [...loggedNames].filter(each => !liveNames.has(each))) {
            loggedNames.delete(name);
            log("warn", "peer-lost", { peer: name });
        }
    };
    const sumInFlight = (): void => {
        const nowMs = monotonicNow();
        const totals = new Map<string, number>();
        for (const { report, receivedAtMs } of peers.values()) {
            if (nowMs - receivedAtMs <= MAX_IN_FLIGHT_AGE_INTERVALS * reportIntervalMs()) {
                for (const [id, count] of Object.entries(report.inFlight)) {
                    totals.set(id, (totals.get(id) ?? 0) + count);
                }
            }
        }
        inFlightTotals = totals;
    };
    const receiveReport = (report: PeerReport, nowMs: number): void => {
        const before = peers.get(report.name);
        if (before !== undefined) {
            metrics.recordReportGap(nowMs - before.receivedAtMs);
        }
        report.peers.forEach(address => unconfirmedAddresses.add(address));
        peers = recordPeerReport(peers, report, nowMs);
    };
    const receive = (message: PeerMessage): void => {
        const nowMs = monotonicNow();
        switch (message.kind) {
            case "report":
                receiveReport(message.report, nowMs);
                return;
            case "announcement":
                peers = recordTopicAnnouncement(peers, message.announcement, nowMs);
                return;
            case "notices":
                noticeListeners.forEach(listener => listener(message.notices));
        }
    };
    const socket = await openPeerSocket(internalAddress, receive, metrics, log);
    const rotation = createReportRotation(BATCH_INTERVAL_MS, getRoundMs);
    const sendReports = (): void => {
        const liveAddresses = live().map(peer => peer.report.internalAddress);
        const report = createReport(rotation.nextListed(liveAddresses));
        const peerAddresses = new Set([...peers.values()].map(peer => peer.report.internalAddress));
        const addresses = new Set([...peerAddresses, ...unconfirmedAddresses]);
        addresses.delete(internalAddress);
        socket.send("peer.report", report, rotation.nextTargets([...addresses]));
        peerAddresses.forEach(address => unconfirmedAddresses.delete(address));
        if (peerAddresses.size === 0) {
            seeds.forEach(address => unconfirmedAddresses.add(address));
        }
    };
    let timer: NodeJS.Timeout;
    let nextSummaryAtMs = 0;
    const tick = (): void => {
        sendReports();
        if (monotonicNow() >= nextSummaryAtMs) {
            nextSummaryAtMs = monotonicNow() + reportIntervalMs();
            sumInFlight();
            logPeerChanges();
        }
        timer = setTimeout(tick, BATCH_INTERVAL_MS);
    };
    timer = setTimeout(tick, 0);
    return {
        live,
        all: () => [...peers.values()],
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
            socket.close();
        },
    };
};
