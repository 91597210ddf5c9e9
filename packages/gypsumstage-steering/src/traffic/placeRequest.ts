import type { Placement } from "./Placement.js";
import type { PlacementCandidate } from "./PlacementCandidate.js";

/**
 * Cost of a request on cold data relative to one on warm data, including the cost of the data that it evicts. On the
 * object's primary side the cost is lower: the data remain useful there, and requests through other instances may have
 * loaded them already.
 */
const COLD_COST_FACTOR = 5;
const COLD_PRIMARY_SIDE_COST_FACTOR = 2;
/** Requests per slot that an endpoint may have in flight, queued ones included, on warm and on cold data. */
const MAX_WARM_QUEUE_FACTOR = 3;
const MAX_COLD_QUEUE_FACTOR = 1;
const MIN_RETRY_AFTER_MS = 100;

const costFactor = (candidate: PlacementCandidate): number => {
    if (candidate.isWarm) {
        return 1;
    }
    return candidate.isOnPrimarySide ? COLD_PRIMARY_SIDE_COST_FACTOR : COLD_COST_FACTOR;
};

const queueWaitMs = (candidate: PlacementCandidate, workMs: number): number => {
    const queuedRequests = candidate.inFlight + 1 - candidate.slots;
    return queuedRequests <= 0 ? 0 : queuedRequests / candidate.slots * workMs * candidate.slowness;
};

const expectedCostMs = (candidate: PlacementCandidate, workMs: number): number => {
    const workCostMs = workMs * candidate.slowness * costFactor(candidate);
    const totalMs = queueWaitMs(candidate, workMs) + workCostMs + candidate.roundTripMs;
    return totalMs / Math.max(0.1, 1 - candidate.errorShare);
};

const hasQueueSpace = (candidate: PlacementCandidate): boolean =>
    candidate.inFlight < candidate.slots * (candidate.isWarm ? MAX_WARM_QUEUE_FACTOR : MAX_COLD_QUEUE_FACTOR);

/**
 * Chooses the candidate endpoint with the lowest expected cost in time. Under load close to the capacity of the
 * slots, a short queue at a warm endpoint beats a free slot elsewhere, because work on warm data takes a third of
 * the time. Spreading the work over more endpoints would evict other objects' data there until all work is cold and
 * no slot becomes free again. Therefore only the object's few candidates are considered, a cold one only while it
 * has a free slot, and a request that would have to wait past its deadline is refused immediately.
 *
 * @param candidates - candidate endpoints of the object, the preferred one first; it is chosen at equal cost
 * @param workMs - typical latency of a request on warm data, in milliseconds
 * @param remainingMs - time until the deadline, in milliseconds
 * @returns the endpoint, or the reason why there is none
 */
export const placeRequest = (
    candidates: readonly PlacementCandidate[],
    workMs: number,
    remainingMs: number,
): Placement => {
    if (candidates.length === 0) {
        return { kind: "no-endpoint" };
    }
    let best: { readonly candidate: PlacementCandidate; readonly costMs: number; } | undefined;
    for (const candidate of candidates.filter(hasQueueSpace)) {
        const costMs = expectedCostMs(candidate, workMs);
        if (best === undefined || costMs < best.costMs) {
            best = { candidate, costMs };
        }
    }
    if (best !== undefined && queueWaitMs(best.candidate, workMs) < remainingMs) {
        return { kind: "placed", id: best.candidate.id, expectedMs: best.costMs };
    }
    const shortestWaitMs = Math.min(...candidates.map(candidate => queueWaitMs(candidate, workMs)));
    return { kind: "no-room", retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, shortestWaitMs / 2) };
};
