import { setTimeout as delay } from "node:timers/promises";

/**
 * Waits without keeping the process alive.
 *
 * @param ms - how long, in milliseconds
 * @returns resolves after the time has passed
 */
export const sleep = async (ms: number): Promise<void> => {
    await delay(ms);
};
