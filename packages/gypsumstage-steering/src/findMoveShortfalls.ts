import type { Member } from "@gypsumstage/domain/Member";
import type { Move } from "@gypsumstage/domain/Move";
import type { Shortfall } from "@gypsumstage/domain/Shortfall";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { FRESH_RECORD_MAX_AGE_MS } from "./FRESH_RECORD_MAX_AGE_MS.js";
import { isDrained } from "./isDrained.js";

const USABLE_FRACTION = 0.9;

const countInFlight = (view: SteeringView, service: string, region: string, nowMs: number): number =>
    view.records
        .filter(record => record.region === region && nowMs - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS)
        .reduce((sum, record) => sum + (record.entry?.inFlight[service] ?? 0), 0);

/**
 * Checks, before a move starts, whether the target region has enough slots for the moved work beside its own.
 *
 * @param move - the service, the two regions and the fraction to move
 * @param view - the view of this process
 * @param nowMs - the monotonic time
 * @returns the missing capacity; empty when the move may start
 */
export const findMoveShortfalls = (
    move: Pick<Move, "service" | "from" | "to" | "part">,
    view: SteeringView,
    nowMs: number,
): readonly Shortfall[] => {
    const isServing = (member: Member): boolean =>
        member.kind === "upstream" && member.service === move.service && member.region === move.to
        && member.state === "live"
        && !(view.configuration !== undefined
            && isDrained(view.configuration, member.dataCentre, member.name));
    const slots = view.members
        .filter(isServing)
        .reduce((sum, member) => sum + (member.kind === "upstream" ? member.slots : 0), 0);
    const available = Math.floor(slots * USABLE_FRACTION);
    const inFlightInTarget = countInFlight(view, move.service, move.to, nowMs);
    const needed = Math.max(
        1,
        Math.ceil(inFlightInTarget + move.part * countInFlight(view, move.service, move.from, nowMs)),
    );
    return needed > available
        ? [{ what: `service ${move.service} in slots of ${move.to}`, needed, available }]
        : [];
};
