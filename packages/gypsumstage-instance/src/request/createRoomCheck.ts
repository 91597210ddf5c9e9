import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Placement } from "@gypsumstage/steering/traffic/Placement";
import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import type { RequestContext } from "./RequestContext.js";

/** After this time the candidates are listed again, as others may have come. Ranking hundreds of endpoints takes 0.5 ms. */
const MAX_CHECK_AGE_MS = 1_000;

/** Candidate endpoints without room, and whether that may have changed. */
interface RoomCheck {
    readonly record: (candidates: readonly PlacementCandidate[]) => void;
    readonly mayHaveRoom: () => boolean;
}

/**
 * Creates the check whether a waiting request may find room. It goes by the candidates of the last try and their load now,
 * which spares ranking all endpoints of the service at each wake-up; and repeats the choice only when a load has fallen.
 *
 * @param ctx - provides the load of endpoints
 * @param place - chooses among candidates
 * @returns the check; without recorded candidates there may be room
 */
export const createRoomCheck = (
    ctx: Pick<RequestContext, "tracker" | "peers">,
    place: (candidates: readonly PlacementCandidate[]) => Placement,
): RoomCheck => {
    let full: readonly PlacementCandidate[] = [];
    let recordedAtMs = -Infinity;
    let observed: readonly number[] = [];
    const observe = (candidates: readonly PlacementCandidate[]): readonly number[] =>
        candidates.map(({ id }) => ctx.tracker.inFlightAt(id) + ctx.peers.inFlight(id));
    return {
        record: candidates => {
            full = candidates;
            observed = observe(candidates);
            recordedAtMs = monotonicNow();
        },
        mayHaveRoom: () => {
            if (monotonicNow() - recordedAtMs > MAX_CHECK_AGE_MS) {
                return true;
            }
            const before = observed;
            observed = observe(full);
            // The load of a candidate may be an estimate, so only its change since then is applied.
            const changes = observed.map((inFlight, index) => inFlight - (before[index] ?? inFlight));
            full = full.map((each, index) => ({
                ...each,
                inFlight: Math.max(0, each.inFlight + (changes[index] ?? 0)),
            }));
            const hasFallen = changes.some(change => change < 0);
            return hasFallen && place(full).kind === "placed";
        },
    };
};
