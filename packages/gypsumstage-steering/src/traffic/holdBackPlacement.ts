import type { Placement } from "./Placement.js";
import type { PlacementCandidate } from "./PlacementCandidate.js";

/** Work on cold data costs several times the slot time and evicts other data, so it starts at nearly idle endpoints only. */
const COLD_LIMIT_SHARE = 0.25;
const RETRY_AFTER_MS = 100;

/**
 * Lets a request wait in the instance in place of queueing at the chosen endpoint. It does not go to another candidate
 * instead: that would be work on cold data, of which an overloaded service can do less. Workload: more requests than slots.
 *
 * @param placement - the choice of `placeRequest`
 * @param candidates - the candidates among which it chose
 * @param queueLimit - requests per slot that an endpoint with warm data may have in flight; undefined for no limit
 * @returns the choice, or that there is no room
 */
export const holdBackPlacement = (
    placement: Placement,
    candidates: readonly PlacementCandidate[],
    queueLimit: number | undefined,
): Placement => {
    const chosen = placement.kind === "placed" ? candidates.find(({ id }) => id === placement.id) : undefined;
    if (chosen === undefined || queueLimit === undefined) {
        return placement;
    }
    const limit = chosen.slots * queueLimit * (chosen.isWarm ? 1 : COLD_LIMIT_SHARE);
    return chosen.inFlight < limit ? placement : { kind: "no-room", retryAfterMs: RETRY_AFTER_MS };
};
