import type { Placement } from "./Placement.js";
import type { PlacementOption } from "./PlacementOption.js";

/**
 * Cost of work without warm data compared with work on warm data, what it displaces counted in. At a place
 * where the object is at home it is less: the data stay of use there, and callers through other instances may
 * have brought them already.
 */
const COLD_FACTOR = 5;
const COLD_HOME_FACTOR = 2;
/** Requests that an endpoint holds, waiting ones included, for each of its slots: on warm data, and without. */
const MAX_QUEUE_FACTOR = 3;
const MAX_COLD_QUEUE_FACTOR = 1;
const MIN_RETRY_AFTER_MS = 100;

const workFactor = (option: PlacementOption): number => {
    if (option.isWarm) {
        return 1;
    }
    return option.isHome ? COLD_HOME_FACTOR : COLD_FACTOR;
};

const waitMs = (option: PlacementOption, workMs: number): number => {
    const ahead = option.inFlight + 1 - option.slots;
    return ahead <= 0 ? 0 : ahead / option.slots * workMs * option.slowness;
};

const expectedMs = (option: PlacementOption, workMs: number): number => {
    const work = workMs * option.slowness * workFactor(option);
    const total = waitMs(option, workMs) + work + option.roundTripMs;
    return total / Math.max(0.1, 1 - option.errorShare);
};

const hasRoom = (option: PlacementOption): boolean =>
    option.inFlight < option.slots * (option.isWarm ? MAX_QUEUE_FACTOR : MAX_COLD_QUEUE_FACTOR);

/**
 * Places a request at the endpoint where it is expected to be done first. The load pattern it answers: load
 * near what the slots can carry. Work on warm data takes a third of the time, so a short queue before the
 * object's own endpoint beats a free slot elsewhere; spreading the work over more endpoints would displace
 * other objects there until all work is cold and no slot is ever free again. So only the object's few places
 * are weighed, one without its data only while that has a free slot, and a request that none of them can
 * finish in time is refused at once.
 *
 * @param options - the object's places, the preferred one first
 * @param workMs - usual time of work on warm data, in milliseconds
 * @param remainingMs - time until the answer must be there, in milliseconds
 * @returns the endpoint, or why there is none
 */
export const placeRequest = (
    options: readonly PlacementOption[],
    workMs: number,
    remainingMs: number,
): Placement => {
    if (options.length === 0) {
        return { kind: "no-endpoint" };
    }
    let best: { readonly option: PlacementOption; readonly cost: number; } | undefined;
    for (const option of options.filter(hasRoom)) {
        const cost = expectedMs(option, workMs);
        if (best === undefined || cost < best.cost) {
            best = { option, cost };
        }
    }
    if (best !== undefined && waitMs(best.option, workMs) < remainingMs) {
        return { kind: "placed", id: best.option.id, expectedMs: best.cost };
    }
    const shortestWait = Math.min(...options.map(option => waitMs(option, workMs)));
    return { kind: "no-room", retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, shortestWait / 2) };
};
