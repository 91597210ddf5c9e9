import type { Member } from "@gypsumstage/domain/Member";
import type { Shortfall } from "@gypsumstage/domain/Shortfall";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { FRESH_RECORD_MAX_AGE_MS } from "./FRESH_RECORD_MAX_AGE_MS.js";
import { isDrained } from "./isDrained.js";

const USABLE_FRACTION = 0.9;

/**
 * Checks, before a drain starts, whether the remaining endpoints have enough slots for the work of each service.
 *
 * @param isInScope - returns whether a member would be drained
 * @param view - the view of this process
 * @param nowMs - the monotonic time
 * @returns the missing capacity; empty when the drain may start
 */
export const findDrainShortfalls = (
    isInScope: (member: Member) => boolean,
    view: SteeringView,
    nowMs: number,
): readonly Shortfall[] => {
    const { configuration } = view;
    if (configuration === undefined) {
        return [];
    }
    return configuration.intent.services.flatMap(service => {
        const isServing = (member: Member): boolean =>
            member.kind === "upstream" && member.service === service && member.state === "live"
            && !isDrained(configuration, member.dataCentre, member.name);
        const remaining = view.members.filter(member => isServing(member) && !isInScope(member));
        const slots = remaining.reduce(
            (sum, member) => sum + (member.kind === "upstream" ? member.slots : 0),
            0,
        );
        const inFlight = view.records
            .filter(record => nowMs - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS)
            .reduce((sum, record) => sum + (record.entry?.inFlight[service] ?? 0), 0);
        const available = Math.floor(slots * USABLE_FRACTION);
        const isServiceAffected = view.members.some(member => isServing(member) && isInScope(member));
        const isShort = isServiceAffected && (inFlight > available || slots === 0);
        return isShort
            ? [{ what: `service ${service} in slots`, needed: Math.max(1, inFlight), available }]
            : [];
    });
};
