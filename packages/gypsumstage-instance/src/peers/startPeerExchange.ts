import { describeError } from "@gypsumstage/shared/describeError";
import { invariant } from "@gypsumstage/shared/invariant";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { chooseReportTargets } from "@gypsumstage/steering/traffic/chooseReportTargets";
import { listLivePeers } from "@gypsumstage/steering/traffic/listLivePeers";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { PeerTable } from "@gypsumstage/steering/traffic/PeerTable";
import { recordPeerReport } from "@gypsumstage/steering/traffic/recordPeerReport";
import { recordTopicAnnouncement } from "@gypsumstage/steering/traffic/recordTopicAnnouncement";
import type { TopicAnnouncement } from "@gypsumstage/steering/traffic/TopicAnnouncement";
import { createSocket, type Socket } from "node:dgram";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import { parsePeerMessage } from "./parsePeerMessage.js";
import type { PeerExchange } from "./PeerExchange.js";
import { TOPICS_METHOD } from "./TOPICS_METHOD.js";

/** Shortest time between two reports. */
const MIN_REPORT_INTERVAL_MS = 100;
/** Time between two reports per instance of the fleet, which bounds the load of sending in a large fleet. */
const REPORT_INTERVAL_PER_PEER_MS = 12;
/** Time between two batches of reports. Each batch goes to the next part of the peers. */
const BATCH_INTERVAL_MS = 100;
/** Peer addresses in a report; the next batch has the next ones. */
const MAX_ADDRESSES_PER_REPORT = 16;
/** Shortest time without a report after which a peer no longer counts as live. */
const MIN_LIVENESS_TIMEOUT_MS = 1_200;
/** Report intervals without a report after which a peer no longer counts as live. */
const LIVENESS_TIMEOUT_INTERVALS = 4;
/** Report intervals after which a peer's reported requests in flight are no longer counted. */
const MAX_IN_FLIGHT_AGE_INTERVALS = 3;

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
    const ownAddress = parseAddress(internalAddress);
    invariant(ownAddress, "address-malformed");
    const socket: Socket = createSocket("udp4");
    let peers: PeerTable = new Map();
    let inFlightTotals: ReadonlyMap<string, number> = new Map();
    const unconfirmedAddresses = new Set<string>(seeds);
    const loggedNames = new Set<string>();
    const reportIntervalMs = (): number =>
        Math.max(MIN_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_PEER_MS * (peers.size + 1));
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
    socket.on("message", bytes => {
        const message = parsePeerMessage(bytes);
        if (!message.ok) {
            log("warn", "peer-report-malformed", { reason: message.error.reason });
            return;
        }
        metrics.countReportBytes("received", bytes.length);
        const nowMs = monotonicNow();
        if (message.value.kind === "report") {
            receiveReport(message.value.report, nowMs);
        }
        else {
            peers = recordTopicAnnouncement(peers, message.value.announcement, nowMs);
        }
    });
    socket.on("error", err => log("warn", "peer-socket-failed", { reason: describeError(err) }));
    let lastTarget: string | undefined;
    let lastListedAddress: string | undefined;
    const listNextAddresses = (): readonly string[] => {
        const addresses = live().map(peer => peer.report.internalAddress);
        const next = chooseReportTargets(addresses, lastListedAddress, MAX_ADDRESSES_PER_REPORT);
        lastListedAddress = next.at(-1);
        return next;
    };
    const chooseBatch = (addresses: ReadonlySet<string>): readonly string[] => {
        const roundMs = Math.max(MIN_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_PEER_MS * (addresses.size + 1));
        const count = Math.ceil(addresses.size * BATCH_INTERVAL_MS / roundMs);
        const batch = chooseReportTargets([...addresses], lastTarget, count);
        lastTarget = batch.at(-1);
        return batch;
    };
    const send = (
        method: string,
        params: PeerReport | TopicAnnouncement,
        addresses: readonly string[],
    ): void => {
        const bytes = Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
        for (const address of addresses) {
            const target = parseAddress(address);
            if (target !== undefined) {
                metrics.countReportBytes("sent", bytes.length);
                socket.send(bytes, target.port, target.host, err => {
                    if (err) {
                        log("debug", "peer-report-not-sent", { to: address, reason: describeError(err) });
                    }
                });
            }
        }
    };
    const sendReports = (): void => {
        const report = createReport(listNextAddresses());
        const peerAddresses = new Set([...peers.values()].map(peer => peer.report.internalAddress));
        const addresses = new Set([...peerAddresses, ...unconfirmedAddresses]);
        addresses.delete(internalAddress);
        send("peer.report", report, chooseBatch(addresses));
        peerAddresses.forEach(address => unconfirmedAddresses.delete(address));
        if (peerAddresses.size === 0) {
            seeds.forEach(address => unconfirmedAddresses.add(address));
        }
    };
    await new Promise<void>(resolve => socket.bind(ownAddress.port, ownAddress.host, resolve));
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
            send(TOPICS_METHOD, announcement, targets.map(peer => peer.report.internalAddress)),
        fleetSize: () => peers.size + 1,
        inFlight: endpointId => inFlightTotals.get(endpointId) ?? 0,
        stop: () => {
            clearTimeout(timer);
            socket.close();
        },
    };
};
