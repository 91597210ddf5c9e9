import { monotonicNow } from "@gypsumstage/shared/monotonicNow";

/**
 * Creates a wall clock that never steps back while the process lives: the wall time of its start plus the monotonic time
 * since.
 *
 * @returns the clock, in milliseconds since 1970
 */
export const createNonSteppingClock = (): () => number => {
    const startedAtMs = Date.now() - monotonicNow();
    return () => startedAtMs + monotonicNow();
};
