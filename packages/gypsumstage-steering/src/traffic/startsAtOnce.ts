import type { EstimatedCandidate } from "./EstimatedCandidate.js";
import type { PlacementCandidate } from "./PlacementCandidate.js";

/** Least expected free slots, in deviations of the load, for a slot to be free with a likelihood of five in six. */
const FREE_DEVIATIONS = 1;

/**
 * Returns whether a second attempt would likely start at once at an endpoint. A hedge that waits takes a slot from another
 * request and rarely responds before the first attempt. At a further candidate it would evict other objects' data as well.
 *
 * @param candidate - the endpoint
 * @returns true when it has a free slot, beyond the uncertainty of its load where that is estimated
 */
export const startsAtOnce = (candidate: PlacementCandidate | EstimatedCandidate): boolean =>
    "deviation" in candidate
        ? !candidate.isFurther
            && candidate.inFlight + FREE_DEVIATIONS * candidate.deviation + 1 <= candidate.slots
        : candidate.inFlight < candidate.slots;
