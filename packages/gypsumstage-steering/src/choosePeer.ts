import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import { FRESH_RECORD_MAX_AGE_MS } from "./FRESH_RECORD_MAX_AGE_MS.js";
import { isDrained } from "./isDrained.js";
import type { PeerChoiceInput } from "./PeerChoiceInput.js";

const countReportedSlots = (record: TimestampedRecord, input: PeerChoiceInput): number => {
    const slots = input.length === "long" ? record.entry?.freeLongSlots : record.entry?.freeSlots;
    return slots?.[input.service] ?? 0;
};

const isUsable = (record: TimestampedRecord, input: PeerChoiceInput): boolean =>
    record.name !== input.self.name
    && !input.tried.has(record.name)
    && input.nowMs - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS
    && record.entry?.isLeaving === false
    && countReportedSlots(record, input) > 0
    && !(input.view.configuration !== undefined && isDrained(input.view.configuration, record.dataCentre));

const getDistance = (record: TimestampedRecord, input: PeerChoiceInput): number => {
    if (input.preferredRegion !== undefined) {
        return record.region === input.preferredRegion ? 0 : 1;
    }
    return record.dataCentre === input.self.dataCentre ? 0 : record.region === input.self.region ? 1 : 2;
};

/**
 * Chooses the entry of another instance to forward a request to: the nearest one that reports free slots. Among
 * equally near ones the choice is random, weighted by free slots, so that many senders do not all choose the same.
 * With a preferred region, the instances in that region count as nearest and all others as equally far. The receiver
 * checks again and may refuse.
 *
 * @param input - the request, the view and the instances tried before
 * @returns the record of the chosen instance, or undefined when no instance reports free slots
 */
export const choosePeer = (input: PeerChoiceInput): TimestampedRecord | undefined => {
    const usable = input.view.records.filter(record => isUsable(record, input));
    const nearest = Math.min(...usable.map(record => getDistance(record, input)));
    const candidates = usable.filter(record => getDistance(record, input) === nearest);
    let remainingWeight = input.random()
        * candidates.reduce((sum, record) => sum + countReportedSlots(record, input), 0);
    return candidates.find(record => {
        remainingWeight -= countReportedSlots(record, input);
        return remainingWeight < 0;
    });
};
