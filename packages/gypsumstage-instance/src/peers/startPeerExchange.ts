import { describeError } from "@gypsumstage/shared/describeError";
import { invariant } from "@gypsumstage/shared/invariant";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { listLivePeers } from "@gypsumstage/steering/traffic/listLivePeers";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { PeerTable } from "@gypsumstage/steering/traffic/PeerTable";
import { updatePeers } from "@gypsumstage/steering/traffic/updatePeers";
import { createSocket, type Socket } from "node:dgram";
import { parseReport } from "./parseReport.js";
import type { PeerExchange } from "./PeerExchange.js";

/** Shortest time between two reports, in milliseconds. */
const MIN_PERIOD_MS = 100;
/** Time between two reports for each instance that gets them, so that the work of a large fleet is bounded. */
const PERIOD_PER_PEER_MS = 12;
/** Silence after which an instance no longer counts as live: at least this, and so many periods. */
const MIN_SILENCE_MS = 1_200;
const SILENCE_PERIODS = 4;
/** Age up to which a report of requests in flight is believed, in periods. */
const IN_FLIGHT_PERIODS = 3;

/**
 * Tells the other instances a few times a second what this one knows and does, by datagram, and listens to
 * theirs. New instances are found through the seeds and through the addresses that each report names.
 *
 * @param internalAddress - where this instance listens, `IP:port`
 * @param seeds - internal addresses to begin with
 * @param createReport - writes this instance's report, given the internal addresses of those it hears
 * @param log - hears of found and lost instances
 * @returns the reports heard
 */
export const startPeerExchange = async (
    internalAddress: string,
    seeds: readonly string[],
    createReport: (peers: readonly string[]) => PeerReport,
    log: Log,
): Promise<PeerExchange> => {
    const own = parseAddress(internalAddress);
    invariant(own, "address-malformed");
    const socket: Socket = createSocket("udp4");
    let peers: PeerTable = new Map();
    let inFlightTotals: ReadonlyMap<string, number> = new Map();
    const hinted = new Set<string>(seeds);
    const liveNames = new Set<string>();
    const periodMs = (): number => Math.max(MIN_PERIOD_MS, PERIOD_PER_PEER_MS * (peers.size + 1));
    const live = (): ReturnType<PeerExchange["live"]> =>
        listLivePeers(peers, monotonicNow(), Math.max(MIN_SILENCE_MS, SILENCE_PERIODS * periodMs()));
    const noticeChanges = (): void => {
        const names = new Set(live().map(peer => peer.report.name));
        for (const name of [...names].filter(each => !liveNames.has(each))) {
            liveNames.add(name);
            log("info", "peer-regained", { peer: name });
        }
        for (const name of [...liveNames].filter(each => !names.has(each))) {
            liveNames.delete(name);
            log("warn", "peer-lost", { peer: name });
        }
    };
    const sumInFlight = (): void => {
        const now = monotonicNow();
        const totals = new Map<string, number>();
        for (const { report, heardAt } of peers.values()) {
            if (now - heardAt <= IN_FLIGHT_PERIODS * periodMs()) {
                for (const [id, count] of Object.entries(report.inFlight)) {
                    totals.set(id, (totals.get(id) ?? 0) + count);
                }
            }
        }
        inFlightTotals = totals;
    };
    socket.on("message", bytes => {
        const report = parseReport(bytes);
        if (!report.ok) {
            log("warn", "peer-report-malformed", { reason: report.error.reason });
            return;
        }
        report.value.peers.forEach(address => hinted.add(address));
        peers = updatePeers(peers, report.value, monotonicNow());
    });
    socket.on("error", err => log("warn", "peer-socket-failed", { reason: describeError(err) }));
    const sendReports = (): void => {
        const heard = live().map(peer => peer.report.internalAddress);
        const report = createReport(heard);
        const bytes = Buffer.from(JSON.stringify({ jsonrpc: "2.0", method: "peer.report", params: report }));
        const known = new Set([...peers.values()].map(peer => peer.report.internalAddress));
        for (const address of new Set([...known, ...hinted])) {
            const to = parseAddress(address);
            if (to !== undefined && address !== internalAddress) {
                socket.send(bytes, to.port, to.host, err => {
                    if (err) {
                        log("debug", "peer-report-not-sent", { to: address, reason: describeError(err) });
                    }
                });
            }
        }
        known.forEach(address => hinted.delete(address));
        if (known.size === 0) {
            seeds.forEach(address => hinted.add(address));
        }
    };
    await new Promise<void>(resolve => socket.bind(own.port, own.host, resolve));
    let timer: NodeJS.Timeout;
    const tick = (): void => {
        sendReports();
        sumInFlight();
        noticeChanges();
        timer = setTimeout(tick, periodMs());
    };
    timer = setTimeout(tick, 0);
    return {
        live,
        fleetSize: () => peers.size + 1,
        inFlight: endpointId => inFlightTotals.get(endpointId) ?? 0,
        stop: () => {
            clearTimeout(timer);
            socket.close();
        },
    };
};
