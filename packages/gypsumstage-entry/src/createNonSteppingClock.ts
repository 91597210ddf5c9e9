import { monotonicNow } from "@gypsumstage/shared/monotonicNow";

/**
 * Creates a wall clock that never goes backwards while the process runs: the wall-clock time at its creation plus the
 * monotonic time since then.
 *
 * @returns a function that returns the time in milliseconds since 1970
 */
export const createNonSteppingClock = (): () => number => {
    const monotonicOriginMs = Date.now() - monotonicNow();
    return () => monotonicOriginMs + monotonicNow();
};
