import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { waitMs } from "./waitMs.js";

/**
 * Creates rounds of a task that all who wait share: one runs at a time, with a pause between their starts.
 *
 * @param task - the task; returns whether it has succeeded, and counts as failed if it rejects
 * @param getIntervalMs - returns the shortest time between two starts, in milliseconds, by the result of the last round
 * @returns the function that waits for the end of a round that starts after the call
 */
export const createSharedRounds = (
    task: () => Promise<boolean>,
    getIntervalMs: (hasSucceeded: boolean) => number,
): () => Promise<void> => {
    let running: Promise<unknown> = Promise.resolve();
    let next: Promise<void> | undefined;
    let nextStartMs = 0;
    const runNext = async (): Promise<void> => {
        await running;
        const pauseMs = nextStartMs - monotonicNow();
        if (pauseMs > 0) {
            await waitMs(pauseMs);
        }
        next = undefined;
        const startedAtMs = monotonicNow();
        const round = task().catch(() => false).then(hasSucceeded => {
            nextStartMs = startedAtMs + getIntervalMs(hasSucceeded);
        });
        running = round;
        await round;
    };
    return () => next ??= runNext();
};
