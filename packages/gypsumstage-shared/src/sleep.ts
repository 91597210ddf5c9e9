import { setTimeout as delay } from "node:timers/promises";

/**
 * Waits for a given time. The timer keeps the process alive.
 *
 * @param ms - the time to wait, in milliseconds
 * @returns a promise that resolves after that time
 */
export const sleep = async (ms: number): Promise<void> => {
    await delay(ms);
};
