import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { PlacementCandidate } from "@gypsumstage/steering/traffic/PlacementCandidate";
import type { PlacementTrace } from "./PlacementTrace.js";

/**
 * Creates the trace of a choice of an endpoint, for the log.
 *
 * @param candidate - the chosen endpoint
 * @param expectedMs - expected cost in time by which it was chosen, in milliseconds
 * @param arrivedAtMs - when the request arrived, on the monotonic clock
 * @returns the trace, with figures rounded
 */
export const createPlacementTrace = (
    candidate: PlacementCandidate,
    expectedMs: number,
    arrivedAtMs: number,
): PlacementTrace => ({
    endpoint: candidate.id,
    afterMs: Math.round(monotonicNow() - arrivedAtMs),
    expectedMs: Math.round(expectedMs),
    inFlight: candidate.inFlight,
    slots: candidate.slots,
    isWarm: candidate.isWarm,
    slowness: Number(candidate.slowness.toFixed(2)),
});
