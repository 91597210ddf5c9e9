import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";

const POLL_INTERVAL_MS = 50;

/**
 * Waits until something holds.
 *
 * @param condition - what shall hold
 * @param timeoutMs - how long to wait, in milliseconds
 * @returns the time it took, or undefined when the time ran out
 */
export const waitFor = async (
    condition: () => boolean | Promise<boolean>,
    timeoutMs: number,
): Promise<number | undefined> => {
    const startedAtMs = monotonicNow();
    while (monotonicNow() - startedAtMs < timeoutMs) {
        if (await condition()) {
            return monotonicNow() - startedAtMs;
        }
        await sleep(POLL_INTERVAL_MS);
    }
    return undefined;
};
