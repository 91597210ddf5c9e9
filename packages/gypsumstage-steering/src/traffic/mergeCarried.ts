import type { CarriedRecord } from "./CarriedRecord.js";
import { isOlderValue } from "./isOlderValue.js";
import type { TopicState } from "./TopicState.js";

const isKnownGone = (state: TopicState, { record }: CarriedRecord): boolean => {
    const departure = state.departures.get(record.name);
    const hasLeft = record.value.kind === "endpoint" && departure !== undefined
        && record.value.endpoint.startedAt <= departure.startedAt;
    return hasLeft || state.removals.has(record.name);
};

/**
 * Returns whether the store removed an object in this era, after the listing of the instance that carries its record. An
 * endpoint is carried without a time limit only in place of a stored record, and an update brings the stored records first.
 */
const wasRemovedInEra = (state: TopicState, { record, untilMs }: CarriedRecord): boolean =>
    record.value.kind === "endpoint" && untilMs === undefined && !state.records.has(record.name);

const isLater = (state: TopicState, candidate: CarriedRecord): boolean => {
    if (wasRemovedInEra(state, candidate)) {
        return false;
    }
    const known = state.carried.get(candidate.record.name)?.record
        ?? state.records.get(candidate.record.name);
    return known === undefined
        ? !isKnownGone(state, candidate)
        : isOlderValue(known.value, candidate.record.value);
};

/**
 * Adds records that another instance carries from an earlier era, where they are later than what this instance knows.
 *
 * @param state - this instance's copy of the topic
 * @param carried - the records that the other instance carries in the same era of the store
 * @returns the next state; the same object when this instance knows all of them
 */
export const mergeCarried = (state: TopicState, carried: readonly CarriedRecord[]): TopicState => {
    const later = carried.filter(each => isLater(state, each));
    return later.length === 0 ? state : {
        ...state,
        carried: new Map([...state.carried, ...later.map(each => [each.record.name, each] as const)]),
    };
};
