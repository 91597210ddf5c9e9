import { computeExpectedExcess } from "./computeExpectedExcess.js";
import type { EstimatedCandidate } from "./EstimatedCandidate.js";
import type { Placement } from "./Placement.js";

/**
 * Cost of a request on cold data beyond that on warm data, relative to the latter, where the candidates have as many
 * requests as slots. Such a request takes 2.3 times longer, and the fuller the endpoints are, the more it delays others.
 * At further endpoints it also evicts the data of other objects.
 */
const COLD_PRIMARY_SIDE_COST = 3;
const COLD_COST = 6;
/** Share of the above that remains on idle endpoints. */
const IDLE_COLD_COST_SHARE = 1 / 3;
/** Requests per slot that an endpoint may have in flight, queued ones included, on warm and on cold data. */
const MAX_WARM_QUEUE_FACTOR = 3;
const MAX_COLD_QUEUE_FACTOR = 1;
const MIN_RETRY_AFTER_MS = 100;
/**
 * Weight of the slots that become free within the age of the figures. The effect of a choice shows only in later figures,
 * which have the same age again.
 */
const TURNOVER_WEIGHT = 2;
/** Further candidates among which a request chooses; more of them would evict the data of more objects. */
const FURTHER_CHOICES = 2;
/** Deviations by which two costs may differ to be taken for equal. */
const CLOSE_DEVIATIONS = 2;
/**
 * Factor by which the work at a candidate may exceed that at the best one. Work on cold data, or at an endpoint that is slow
 * at the moment, is certain to take longer.
 */
const CLOSE_WORK_FACTOR = 1.5;

interface RatedCandidate {
    readonly candidate: EstimatedCandidate;
    readonly waitMs: number;
    /** Cost of the request's own work. */
    readonly ownMs: number;
    readonly costMs: number;
    /** Slots that are expected to be free. */
    readonly freeSlots: number;
    /** Deviation of the cost that follows from that of the load. */
    readonly deviationMs: number;
}

const costFactor = (candidate: EstimatedCandidate, loadPerSlot: number): number => {
    if (candidate.isWarm) {
        return 1;
    }
    const cost = candidate.isOnPrimarySide && !candidate.isFurther ? COLD_PRIMARY_SIDE_COST : COLD_COST;
    return 1 + cost * (IDLE_COLD_COST_SHARE + (1 - IDLE_COLD_COST_SHARE) * loadPerSlot);
};

const rate = (candidate: EstimatedCandidate, loadPerSlot: number): RatedCandidate => {
    const { inFlight, deviation, slots, slowness, workMs, queueWorkMs } = candidate;
    const slotMs = queueWorkMs * slowness / slots;
    const waitMs = computeExpectedExcess(inFlight + 1 - slots, deviation) * slotMs;
    const freeSlots = computeExpectedExcess(slots - inFlight, deviation);
    const ownMs = workMs * slowness * costFactor(candidate, loadPerSlot);
    const totalMs = waitMs + ownMs + candidate.roundTripMs;
    return {
        candidate,
        waitMs,
        ownMs,
        costMs: totalMs / Math.max(0.1, 1 - candidate.errorShare),
        freeSlots,
        deviationMs: deviation * slotMs,
    };
};

const hasQueueSpace = ({ candidate }: RatedCandidate): boolean =>
    candidate.inFlight < candidate.slots * (candidate.isWarm ? MAX_WARM_QUEUE_FACTOR : MAX_COLD_QUEUE_FACTOR);

/** Draws one in proportion to the slots that are free, or will have become so until the next figures. */
const drawByCapacity = (
    rated: readonly RatedCandidate[],
    random: () => number,
): RatedCandidate | undefined => {
    const weights = rated.map(({ candidate, freeSlots }) =>
        (freeSlots + TURNOVER_WEIGHT * candidate.newInFlight) / candidate.slowness
    );
    let rest = random() * weights.reduce((sum, each) => sum + each, 0);
    return rated.find((_, index) => {
        rest -= weights[index] ?? 0;
        return rest < 0;
    });
};

/**
 * Chooses among candidates whose load is estimated from figures of some age. Many instances choose by the same figures at
 * the same time; if all chose the best candidate, they would overload it until the next figure. So two of the candidates
 * whose costs differ by less than the uncertainty of the figures are drawn in proportion to the slots that are likely free,
 * and the better one is chosen. The object's usual candidates come first, as work on warm data takes a fraction of the time.
 * A further one is used in place of a refusal, or of a wait that costs more than work on cold data and the eviction.
 *
 * @param candidates - the candidates in the order of preference
 * @param remainingMs - time until the deadline, in milliseconds
 * @param random - returns a random number from 0 to below 1
 * @returns the endpoint, or the reason why there is none
 */
export const placeByEstimate = (
    candidates: readonly EstimatedCandidate[],
    remainingMs: number,
    random: () => number,
): Placement => {
    if (candidates.length === 0) {
        return { kind: "no-endpoint" };
    }
    const loadPerSlot = candidates.reduce((sum, each) => sum + each.inFlight / each.slots, 0)
        / candidates.length;
    const rated = candidates.map(candidate => rate(candidate, loadPerSlot));
    const open = rated.filter(each => hasQueueSpace(each) && each.waitMs < remainingMs);
    const usual = open.filter(each => !each.candidate.isFurther);
    const further = open.filter(each => each.candidate.isFurther).slice(0, FURTHER_CHOICES);
    const best = [...usual, ...further].reduce<RatedCandidate | undefined>(
        (left, right) => left === undefined || right.costMs < left.costMs ? right : left,
        undefined,
    );
    if (best === undefined) {
        const shortestWaitMs = Math.min(...rated.map(each => each.waitMs));
        return { kind: "no-room", retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, shortestWaitMs / 2) };
    }
    const equivalent = best.candidate.isFurther ? further : usual;
    const close = equivalent.filter(each =>
        each.costMs - best.costMs <= CLOSE_DEVIATIONS * Math.hypot(each.deviationMs, best.deviationMs)
        && each.ownMs <= CLOSE_WORK_FACTOR * best.ownMs
    );
    const draws = [drawByCapacity(close, random) ?? best, drawByCapacity(close, random) ?? best] as const;
    const chosen = draws[1].costMs < draws[0].costMs ? draws[1] : draws[0];
    return { kind: "placed", id: chosen.candidate.id, expectedMs: chosen.costMs };
};
