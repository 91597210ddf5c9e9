import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import type { CarriedRecord } from "./CarriedRecord.js";
import { EMPTY_TOPIC } from "./EMPTY_TOPIC.js";
import { isOlderValue } from "./isOlderValue.js";
import { listRecordsInForce } from "./listRecordsInForce.js";
import type { TopicEvent } from "./TopicEvent.js";
import type { TopicState } from "./TopicState.js";

/** Time within which live endpoints have registered again after the store is back. */
const ENDPOINT_REWRITE_MS = 2_000;
/** Time within which the operator has written again what the copy lacks. */
const OPERATOR_REWRITE_MS = 5_000;
/** Time after which the store has removed the entry of an endpoint that no longer writes, with a margin. */
const SILENT_ENTRY_MS = 6_500;

const findMissingUntilMs = ({ value }: TopicRecord, nowMs: number): number | undefined => {
    switch (value.kind) {
        case "policy":
            return undefined;
        case "evacuation":
            return nowMs + OPERATOR_REWRITE_MS;
        case "endpoint":
        case "malformed":
            return nowMs + ENDPOINT_REWRITE_MS;
    }
};

const carryRecords = (
    state: TopicState,
    listed: ReadonlyMap<string, TopicRecord>,
    nowMs: number,
): readonly CarriedRecord[] => {
    const carried: CarriedRecord[] = [];
    for (const [name, record] of listRecordsInForce(state)) {
        const stored = listed.get(name);
        if (stored === undefined) {
            carried.push({ record, untilMs: findMissingUntilMs(record, nowMs) });
        }
        else if (isOlderValue(stored.value, record.value)) {
            carried.push({ record, untilMs: undefined });
        }
    }
    return carried;
};

const carryDepartures = (
    state: TopicState,
    listed: ReadonlyMap<string, TopicRecord>,
    nowMs: number,
): readonly CarriedRecord[] => {
    const carried: CarriedRecord[] = [];
    for (const [name, { startedAt, wasAnnounced }] of state.departures) {
        const stored = listed.get(name);
        if (stored?.value.kind === "endpoint" && stored.value.endpoint.startedAt <= startedAt) {
            const endpoint = { ...stored.value.endpoint, startedAt, isDraining: true };
            carried.push({
                record: { ...stored, value: { kind: "endpoint", endpoint } },
                untilMs: wasAnnounced ? undefined : nowMs + SILENT_ENTRY_MS,
            });
        }
    }
    return carried;
};

/**
 * Replaces a copy of a topic by a listing of a later era, in which the store was restored from an older copy. Revisions
 * start anew. What was known before and the listing contradicts stays in force: later configurations, endpoints that left,
 * and, for the time that their writers need to write again, records that the listing lacks.
 *
 * @param state - the copy of the topic so far
 * @param event - the first listing of the era
 * @returns the next state, but for its digest and departures
 */
export const beginEra = (
    state: TopicState,
    event: Extract<TopicEvent, { readonly kind: "listed"; }>,
): TopicState => {
    const records = new Map(event.records.map(record => [record.name, record] as const));
    const carried = [
        ...carryRecords(state, records, event.nowMs),
        ...carryDepartures(state, records, event.nowMs),
    ];
    return {
        ...EMPTY_TOPIC,
        era: event.era,
        revision: event.revision,
        changedRevision: event.revision,
        records,
        carried: new Map(carried.map(each => [each.record.name, each])),
        removalsSince: event.revision,
    };
};
