import type { FleetKnowledge } from "./FleetKnowledge.js";

/** Time in which an instance learns of all others, from its start or from finding the first one. */
const SETTLE_MS = 1_000;
/** Time after which all others have introduced themselves to the only seed: the interval of introductions, and some more. */
const SELF_SEED_SETTLE_MS = 3_000;

/**
 * Decides whether an instance knows the fleet so far that it may use its part of what all instances have together: retries beyond
 * its own requests, permits, usage caps, cold endpoints, probes. One whose settings name others, but which finds nobody, may be one of
 * many in the same state. Workload: many instances start at once beside gone seeds while endpoints fail or state limits.
 *
 * @param knowledge - what it knows
 * @returns true when it may
 */
export const isFleetKnown = ({ runningMs, joinedMs, seeds, isConfirmedAlone }: FleetKnowledge): boolean => {
    if (joinedMs !== undefined) {
        return joinedMs >= SETTLE_MS;
    }
    switch (seeds) {
        case "none":
            return runningMs >= SETTLE_MS;
        case "self":
            return runningMs >= SELF_SEED_SETTLE_MS;
        case "others":
            return isConfirmedAlone;
    }
};
