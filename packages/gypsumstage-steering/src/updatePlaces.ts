import { EXTRA_DEADLINE_MS } from "./EXTRA_DEADLINE_MS.js";
import { HEARD_RECENTLY_MS } from "./HEARD_RECENTLY_MS.js";
import { LIST_LAG_MS } from "./LIST_LAG_MS.js";
import type { PlaceRequest } from "./PlaceRequest.js";
import type { PlaceState } from "./PlaceState.js";
import { PLAN_LIFETIME_MS } from "./PLAN_LIFETIME_MS.js";

const TAKEOVER_WAIT_MS = (LIST_LAG_MS + PLAN_LIFETIME_MS + EXTRA_DEADLINE_MS) * 1.05;

const listNeighbours = (req: PlaceRequest): readonly string[] =>
    Object.entries(req.view.configuration?.intent.places ?? {})
        .filter(([name, dataCentre]) => dataCentre === req.self.dataCentre && name !== req.self.name)
        .map(([name]) => name);

const acknowledge = (state: PlaceState, req: PlaceRequest): Readonly<Record<string, string>> => {
    const isGone = (name: string, launch: string): boolean =>
        req.view.members.some(member =>
            member.name === name && member.launch === launch && member.state === "gone"
        );
    const heard = req.view.records.filter(record =>
        record.dataCentre === req.self.dataCentre && record.name !== req.self.name
        && req.nowMs - record.heardAtMs < HEARD_RECENTLY_MS && !isGone(record.name, record.launch)
    );
    const latest = [...heard].sort((left, right) => left.heardAtMs - right.heardAtMs);
    const next = {
        ...state.acknowledged,
        ...Object.fromEntries(latest.map(record => [record.name, record.launch])),
    };
    const isSame = Object.entries(next).every(([name, launch]) => state.acknowledged[name] === launch);
    return isSame ? state.acknowledged : next;
};

const isSoleOccupant = (req: PlaceRequest): boolean => {
    const launches = req.view.members.filter(member =>
        member.kind === "instance" && member.name === req.self.name
    );
    const own = launches.find(member => member.launch === req.self.launch);
    const others = launches.filter(member => member.launch !== req.self.launch && member.state !== "gone");
    return own !== undefined && own.state !== "gone" && others.length === 0;
};

const isAcknowledgedBy = (place: string, req: PlaceRequest): boolean =>
    req.view.records.some(record =>
        record.name === place
        && req.nowMs - record.heardAtMs < HEARD_RECENTLY_MS
        && record.entry?.acknowledged[req.self.name] === req.self.launch
    );

/**
 * Decides whether this launch may use what belongs to its place. The list must show it as the only occupant:
 * the list lags, so "live" proves nothing of an earlier launch, while "gone" does. Then either every neighbour
 * tells that it counts on this launch, or the time has passed after which no neighbour can still use the place's
 * part. Once the owner, a launch stays it until the list declares it gone.
 *
 * @param state - what was known
 * @param req - what is known now
 * @returns the next state; the same reference when nothing changed
 */
export const updatePlaces = (state: PlaceState, req: PlaceRequest): PlaceState => {
    const acknowledged = acknowledge(state, req);
    const isDeclared = req.view.configuration?.intent.places[req.self.name] === req.self.dataCentre;
    const isDeclaredGone = req.view.members.some(member =>
        member.name === req.self.name && member.launch === req.self.launch && member.state === "gone"
    );
    const isSole = isSoleOccupant(req);
    const soleSinceMs = isSole ? state.soleSinceMs ?? req.nowMs : undefined;
    const hasWaited = soleSinceMs !== undefined && req.nowMs - soleSinceMs > TAKEOVER_WAIT_MS;
    const isKnown = isSole && listNeighbours(req).every(place => isAcknowledgedBy(place, req));
    const isOwner = isDeclared && !isDeclaredGone && (state.isOwner || hasWaited || isKnown);
    const isSame = acknowledged === state.acknowledged && soleSinceMs === state.soleSinceMs
        && isOwner === state.isOwner;
    return isSame ? state : { acknowledged, soleSinceMs, isOwner };
};
