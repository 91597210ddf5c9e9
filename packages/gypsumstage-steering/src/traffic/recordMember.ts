import type { MemberRecord } from "./MemberRecord.js";
import type { PeerReport } from "./PeerReport.js";
import type { PeerTable } from "./PeerTable.js";

/** Time for which an instance that is gone stays in the table, as it still has its part of limits over all instances. */
const GONE_EXPIRY_MS = 30_000;

const toReportFields = (record: MemberRecord): Omit<MemberRecord, "isGone"> => {
    const { name, dataCentre, region, address, internalAddress, incarnation, generation, version, isReady } =
        record;
    return {
        name,
        dataCentre,
        region,
        address,
        internalAddress,
        ...(record.relayAddress === undefined ? {} : { relayAddress: record.relayAddress }),
        incarnation,
        generation,
        version,
        isReady,
        cutServices: record.cutServices ?? [],
        isUnconfirmed: record.isUnconfirmed ?? false,
    };
};

const createEmptyReport = (record: MemberRecord): PeerReport => ({
    ...toReportFields(record),
    topics: {},
    storeAgeMs: undefined,
    inFlight: {},
    demand: {},
    placed: {},
    peers: [],
});

/**
 * Takes over the record of an instance into the table of reports, so that instances whose reports don't come here are in it too.
 *
 * @param peers - the table so far
 * @param record - the newest record of the instance
 * @param nowMs - current monotonic time
 * @returns the next table; the same object when nothing changes
 */
export const recordMember = (peers: PeerTable, record: MemberRecord, nowMs: number): PeerTable => {
    const peer = peers.get(record.name);
    if (record.isGone) {
        const isExpired = peer !== undefined && nowMs - peer.heardAtMs > GONE_EXPIRY_MS;
        return isExpired ? new Map([...peers].filter(([name]) => name !== record.name)) : peers;
    }
    if (peer === undefined || peer.report.incarnation !== record.incarnation) {
        const added = { report: createEmptyReport(record), receivedAtMs: -Infinity, heardAtMs: nowMs };
        return new Map([...peers, [record.name, added]]);
    }
    const isNewer = record.version > (peer.report.version ?? -1);
    return isNewer
        ? new Map([...peers, [record.name, {
            ...peer,
            report: { ...peer.report, ...toReportFields(record) },
        }]])
        : peers;
};
