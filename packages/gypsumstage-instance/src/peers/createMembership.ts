import type { Log } from "@gypsumstage/shared/Log";
import { chooseAtRandom } from "@gypsumstage/steering/traffic/chooseAtRandom";
import { computeMembersDigest } from "@gypsumstage/steering/traffic/computeMembersDigest";
import type { DataCentreSummary } from "@gypsumstage/steering/traffic/DataCentreSummary";
import { isNewerMember } from "@gypsumstage/steering/traffic/isNewerMember";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import type { MemberTable } from "@gypsumstage/steering/traffic/MemberTable";
import { mergeMember } from "@gypsumstage/steering/traffic/mergeMember";
import { mergeSummary } from "@gypsumstage/steering/traffic/mergeSummary";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { SummaryTable } from "@gypsumstage/steering/traffic/SummaryTable";
import { createChangeListeners } from "../notices/createChangeListeners.js";
import { createContactMonitor } from "./createContactMonitor.js";
import { isMemberRecord } from "./isMemberRecord.js";
import type { Membership } from "./Membership.js";
import { toMemberRecord } from "./toMemberRecord.js";

/** Summaries of other data centres in a message, which then fits into one packet. */
const MAX_PASSED_SUMMARIES = 5;
/** Time without a summary of a data centre after which none of its instances counts as live. */
const DATA_CENTRE_TIMEOUT_MS = 3_500;
/** Age of a record from which an instance of its data centre that does not know it shows that it is gone. */
const SETTLED_RECORD_MS = 10_000;

const haveSameServices = (left: readonly string[] = [], right: readonly string[] = []): boolean =>
    left.length === right.length && left.every((service, index) => service === right[index]);

/**
 * Creates what an instance knows of the fleet. Only the contacts of an instance hear its reports and notice when they stop; that it
 * is gone is spread as a notice. All else is compared by digest: each instance sends summaries of data centres to others at random,
 * and fetches the records of a data centre of which it knows something else.
 *
 * @param self - this instance's record at its start
 * @param getTimeoutMs - returns the time without a report after which a contact is gone
 * @param onContradicted - called with the record of an instance that others take for gone, although this one hears it
 * @param now - returns the monotonic time, for what notices tell
 * @param random - returns a random number from 0 to below 1
 * @param log - receives instances that are missed, and corrections of what others say of this one
 * @returns the membership, which knows this instance only
 */
export const createMembership = (
    self: MemberRecord,
    getTimeoutMs: () => number,
    onContradicted: (record: MemberRecord) => void,
    now: () => number,
    random: () => number,
    log: Log,
): Membership => {
    let own = self;
    let members: MemberTable = new Map();
    let summaries: SummaryTable = new Map();
    const monitor = createContactMonitor(getTimeoutMs);
    const listeners = createChangeListeners();
    const isLocal = (record: MemberRecord): boolean => record.dataCentre === own.dataCentre;
    const listRecords = (): readonly MemberRecord[] => [...members.values()].map(member => member.record);
    const readDataCentre = (dataCentre: string): readonly MemberRecord[] =>
        [own, ...listRecords()].filter(record => record.dataCentre === dataCentre);
    const find = (name: string): MemberRecord | undefined => members.get(name)?.record;
    /** Corrects what another instance says of this one, unless it is no newer. */
    const correct = (record: MemberRecord): void => {
        if (!isNewerMember(record, own)) {
            return;
        }
        own = record.generation > own.generation
            ? { ...own, generation: record.generation + 1 }
            : { ...own, version: record.version + 1 };
        log("info", "member-corrected", { said: record, generation: own.generation, version: own.version });
        listeners.notify(own.name);
    };
    /** Merges a record and returns whether that changed anything. */
    const mergeOne = (record: MemberRecord, nowMs: number): boolean => {
        if (record.name === own.name) {
            correct(record);
            return false;
        }
        const known = find(record.name);
        const isContradicted = record.isGone && known?.generation === record.generation
            && monitor.isHeard(record.name, nowMs);
        if (isContradicted) {
            onContradicted(record);
            return false;
        }
        const next = mergeMember(members, record, nowMs);
        const isChanged = next !== members;
        members = next;
        return isChanged;
    };
    const isDataCentreHeard = (dataCentre: string, nowMs: number): boolean => {
        const madeAtMs = summaries.get(dataCentre)?.madeAtMs;
        return madeAtMs !== undefined
            && nowMs - Math.max(madeAtMs, monitor.resumedAtMs()) <= DATA_CENTRE_TIMEOUT_MS;
    };
    return {
        own: () => own,
        updateOwn: ({ isReady, cutServices, isUnconfirmed }) => {
            const isSame = isReady === own.isReady && isUnconfirmed === own.isUnconfirmed;
            if (isSame && haveSameServices(cutServices, own.cutServices)) {
                return;
            }
            const isWorse = (own.isReady && !isReady) || (cutServices?.length ?? 0) > 0;
            own = {
                ...own,
                version: own.version + 1,
                isReady,
                cutServices: cutServices ?? [],
                isUnconfirmed,
            };
            if (isWorse) {
                listeners.notify(own.name);
            }
        },
        records: listRecords,
        find,
        isLive: (name, nowMs) => {
            const member = members.get(name);
            if (member === undefined || member.record.isGone) {
                return false;
            }
            if (monitor.isHeard(name, nowMs)) {
                return true;
            }
            const isJustLearnt = nowMs - member.learntAtMs <= DATA_CENTRE_TIMEOUT_MS;
            return !isLocal(member.record)
                && (isJustLearnt || isDataCentreHeard(member.record.dataCentre, nowMs));
        },
        hear: (report: PeerReport, nowMs) => {
            const record = toMemberRecord(report);
            if (record === undefined || record.name === own.name) {
                return;
            }
            monitor.hear(record.name, report.isToContact === true, nowMs);
            const known = find(record.name);
            if (known?.isGone && !isNewerMember(record, known)) {
                onContradicted(known);
            }
            members = mergeMember(members, record, nowMs);
        },
        listDoubtful: monitor.listDoubtful,
        missSilent: nowMs => {
            for (const name of monitor.takeSilent(nowMs)) {
                const record = find(name);
                if (record !== undefined && !record.isGone) {
                    members = mergeMember(members, { ...record, isGone: true }, nowMs);
                    log("info", "member-missed", { peer: name, incarnation: record.incarnation });
                    listeners.notify(name);
                }
            }
        },
        merge: (records, nowMs) => records.forEach(record => mergeOne(record, nowMs)),
        mergeDataCentre: (dataCentre, records, nowMs) => {
            records.forEach(record => mergeOne(record, nowMs));
            const told = new Set(records.map(record => record.name));
            for (const { record, learntAtMs } of members.values()) {
                const isUnknownThere = record.dataCentre === dataCentre && !record.isGone
                    && !told.has(record.name);
                if (
                    isUnknownThere && nowMs - learntAtMs > SETTLED_RECORD_MS
                    && !monitor.isHeard(record.name, nowMs)
                ) {
                    members = mergeMember(members, { ...record, isGone: true }, nowMs);
                }
            }
        },
        receiveSummaries: ({ sender, summaries: received }, nowMs) => {
            mergeOne(sender, nowMs);
            const isNews = (summary: DataCentreSummary): boolean => {
                const next = mergeSummary(summaries, summary, nowMs);
                const isMoreRecent = next !== summaries;
                summaries = next;
                return isMoreRecent
                    && summary.digest !== computeMembersDigest(readDataCentre(summary.dataCentre));
            };
            return received.filter(isNews);
        },
        createSummaries: (demand, nowMs) => {
            const passedOn = [...summaries.values()]
                .filter(({ summary }) => summary.dataCentre !== own.dataCentre)
                .filter(({ madeAtMs }) => nowMs - madeAtMs <= DATA_CENTRE_TIMEOUT_MS)
                .map(({ summary, madeAtMs }) => ({ ...summary, ageMs: Math.round(nowMs - madeAtMs) }));
            const { dataCentre, region, internalAddress: author } = own;
            const digest = computeMembersDigest(readDataCentre(dataCentre));
            return {
                sender: own,
                summaries: [
                    { dataCentre, region, author, digest, demand, ageMs: 0 },
                    ...chooseAtRandom(passedOn, MAX_PASSED_SUMMARIES, random),
                ],
            };
        },
        listSummaries: nowMs =>
            [...summaries.values()]
                .map(({ summary }) => summary)
                .filter(({ dataCentre }) =>
                    dataCentre !== own.dataCentre && isDataCentreHeard(dataCentre, nowMs)
                ),
        readDataCentre,
        topic: {
            name: "members",
            keys: () => [],
            read: name => name === own.name ? own : find(name),
            isPreliminary: () => false,
            merge: content => {
                if (!isMemberRecord(content)) {
                    log("warn", "notice-malformed", { topic: "members" });
                    return undefined;
                }
                return mergeOne(content, now()) ? content.name : undefined;
            },
            registerListener: listeners.register,
        },
    };
};
