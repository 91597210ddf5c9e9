import type { HeadReadTracker } from "./HeadReadTracker.js";

/**
 * Creates a tracker of the last read of the configuration head.
 *
 * @returns the tracker, with no read recorded
 */
export const createHeadReadTracker = (): HeadReadTracker => {
    let lastReadAtMs: number | undefined;
    let lastGeneration = 0;
    return {
        readAtMs: () => lastReadAtMs,
        generation: () => lastGeneration,
        recordRead: (generation, readAtMs) => {
            lastReadAtMs = readAtMs;
            lastGeneration = generation;
        },
    };
};
