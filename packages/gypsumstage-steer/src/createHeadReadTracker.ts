import type { HeadReadTracker } from "./HeadReadTracker.js";

/**
 * Creates the memory of the last reading of the head.
 *
 * @returns the memory, empty
 */
export const createHeadReadTracker = (): HeadReadTracker => {
    let readAt: number | undefined;
    let last = 0;
    return {
        readAtMs: () => readAt,
        generation: () => last,
        note: (generation, readAtMs) => {
            readAt = readAtMs;
            last = generation;
        },
    };
};
