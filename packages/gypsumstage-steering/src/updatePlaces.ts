import { CLOCK_RATE_MARGIN_FACTOR } from "./CLOCK_RATE_MARGIN_FACTOR.js";
import { EXTRA_SLOT_DEADLINE_MS } from "./EXTRA_SLOT_DEADLINE_MS.js";
import { FRESH_RECORD_MAX_AGE_MS } from "./FRESH_RECORD_MAX_AGE_MS.js";
import { MEMBER_LIST_MAX_LAG_MS } from "./MEMBER_LIST_MAX_LAG_MS.js";
import type { PlaceInput } from "./PlaceInput.js";
import type { PlaceState } from "./PlaceState.js";
import { PLAN_LIFETIME_MS } from "./PLAN_LIFETIME_MS.js";

// After the maximum lag of the list, the lifetime of a list and the longest request on slots of unoccupied places, no
// process uses the slots of this place any more.
const TAKEOVER_WAIT_MS = CLOCK_RATE_MARGIN_FACTOR
    * (MEMBER_LIST_MAX_LAG_MS + PLAN_LIFETIME_MS + EXTRA_SLOT_DEADLINE_MS);

const listOtherPlaces = (input: PlaceInput): readonly string[] =>
    Object.entries(input.view.configuration?.intent.places ?? {})
        .filter(([name, dataCentre]) => dataCentre === input.self.dataCentre && name !== input.self.name)
        .map(([name]) => name);

const updateAcknowledged = (state: PlaceState, input: PlaceInput): Readonly<Record<string, string>> => {
    const isListedGone = (name: string, launch: string): boolean =>
        input.view.members.some(member =>
            member.name === name && member.launch === launch && member.state === "gone"
        );
    const fresh = input.view.records.filter(record =>
        record.dataCentre === input.self.dataCentre && record.name !== input.self.name
        && input.nowMs - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS
        && !isListedGone(record.name, record.launch)
    );
    const oldestFirst = [...fresh].sort((left, right) => left.lastSeenAtMs - right.lastSeenAtMs);
    const next = {
        ...state.acknowledged,
        ...Object.fromEntries(oldestFirst.map(record => [record.name, record.launch])),
    };
    const isSame = Object.entries(next).every(([name, launch]) => state.acknowledged[name] === launch);
    return isSame ? state.acknowledged : next;
};

const isSoleOccupant = (input: PlaceInput): boolean => {
    const launches = input.view.members.filter(member =>
        member.kind === "instance" && member.name === input.self.name
    );
    const selfMember = launches.find(member => member.launch === input.self.launch);
    const others = launches.filter(member => member.launch !== input.self.launch && member.state !== "gone");
    return selfMember !== undefined && selfMember.state !== "gone" && others.length === 0;
};

const isAcknowledgedBy = (place: string, input: PlaceInput): boolean =>
    input.view.records.some(record =>
        record.name === place
        && input.nowMs - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS
        && record.entry?.acknowledged[input.self.name] === input.self.launch
    );

/**
 * Decides whether this launch owns its place, that is, may use its slots and budget floors. The list of members must
 * show the launch as the only occupant: earlier launches must be listed as `gone`, because a lagging list may still
 * show them as `live`. In addition, either every other place of the data centre must acknowledge this launch, or the
 * takeover wait must have passed, after which no other place can still use the slots of this one. An acknowledgement
 * means that the other place no longer uses slots of this one. A launch stays the owner until it is listed as `gone` or
 * its place is no longer declared.
 *
 * @param state - the previous state
 * @param input - the current view and time
 * @returns the next state; `state` itself when nothing changed
 */
export const updatePlaces = (state: PlaceState, input: PlaceInput): PlaceState => {
    const acknowledged = updateAcknowledged(state, input);
    const isDeclared = input.view.configuration?.intent.places[input.self.name] === input.self.dataCentre;
    const isSelfListedGone = input.view.members.some(member =>
        member.name === input.self.name && member.launch === input.self.launch && member.state === "gone"
    );
    const isSole = isSoleOccupant(input);
    const soleSinceMs = isSole ? state.soleSinceMs ?? input.nowMs : undefined;
    const hasTakeoverWaitPassed = soleSinceMs !== undefined && input.nowMs - soleSinceMs > TAKEOVER_WAIT_MS;
    const isAcknowledgedByAll = isSole
        && listOtherPlaces(input).every(place => isAcknowledgedBy(place, input));
    const isOwner = isDeclared && !isSelfListedGone
        && (state.isOwner || hasTakeoverWaitPassed || isAcknowledgedByAll);
    const isSame = acknowledged === state.acknowledged && soleSinceMs === state.soleSinceMs
        && isOwner === state.isOwner;
    return isSame ? state : { acknowledged, soleSinceMs, isOwner };
};
