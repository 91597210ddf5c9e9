import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import type { RequestContext } from "./RequestContext.js";

/** After this time the candidates are listed again, as others may have come and the request has aged. */
const MAX_CHECK_AGE_MS = 250;

/** Candidate endpoints without room, and whether that may have changed. */
interface RoomCheck {
    readonly record: (candidates: readonly PlacementCandidate[]) => void;
    readonly mayHaveRoom: () => boolean;
}

/**
 * Creates the check whether a waiting request may find room, which spares ranking all endpoints of the service at
 * each wake-up.
 *
 * @param ctx - provides the load of endpoints
 * @returns the check; without recorded candidates there may be room
 */
export const createRoomCheck = (ctx: Pick<RequestContext, "tracker" | "peers">): RoomCheck => {
    let full: readonly PlacementCandidate[] = [];
    let recordedAtMs = -Infinity;
    const inFlight = (id: string): number => ctx.tracker.inFlightAt(id) + ctx.peers.inFlight(id);
    return {
        record: candidates => {
            full = candidates;
            recordedAtMs = monotonicNow();
        },
        mayHaveRoom: () =>
            monotonicNow() - recordedAtMs > MAX_CHECK_AGE_MS
            || full.some(candidate => inFlight(candidate.id) < candidate.inFlight),
    };
};
