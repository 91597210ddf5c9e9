import type { Member } from "@gypsumstage/domain/Member";
import type { Shortfall } from "@gypsumstage/domain/Shortfall";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { HEARD_RECENTLY_MS } from "./HEARD_RECENTLY_MS.js";
import { isDrained } from "./isDrained.js";

const USABLE_PART = 0.9;

/**
 * Checks before a drain starts whether the rest of the system can carry the work.
 *
 * @param scope - tells whether a member of the list lies in what is to be drained
 * @param view - what the asking process knows
 * @param nowMs - the monotonic time
 * @returns what is missing; empty when the drain may start
 */
export const findShortfalls = (
    scope: (member: Member) => boolean,
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
        const rest = view.members.filter(member => isServing(member) && !scope(member));
        const slots = rest.reduce((sum, member) => sum + (member.kind === "upstream" ? member.slots : 0), 0);
        const inFlight = view.records
            .filter(record => nowMs - record.heardAtMs < HEARD_RECENTLY_MS)
            .reduce((sum, record) => sum + (record.entry?.inFlight[service] ?? 0), 0);
        const available = Math.floor(slots * USABLE_PART);
        const isDrainingAny = view.members.some(member => isServing(member) && scope(member));
        const isShort = isDrainingAny && (inFlight > available || slots === 0);
        return isShort
            ? [{ what: `service ${service} in slots`, needed: Math.max(1, inFlight), available }]
            : [];
    });
};
