import type { HeadReadTracker } from "./HeadReadTracker.js";

/**
 * Creates a tracker of the last read of the configuration head.
 *
 * @returns the tracker, with no read recorded
 */
export const createHeadReadTracker = (): HeadReadTracker => {
    let lastReadAtMs: number | undefined;
    let lastGeneration = 0;
    let isPlatformLost = false;
    return {
        readAtMs: () => lastReadAtMs,
        generation: () => lastGeneration,
        isPlatformLost: () => isPlatformLost,
        recordFailure: () => {
            isPlatformLost = true;
        },
        recordRead: (generation, readAtMs) => {
            isPlatformLost = false;
            lastReadAtMs = readAtMs;
            lastGeneration = generation;
        },
    };
};
