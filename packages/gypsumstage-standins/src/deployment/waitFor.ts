import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";

const POLL_INTERVAL_MS = 50;

/**
 * Polls a condition until it holds.
 *
 * @param condition - returns whether it holds
 * @param timeoutMs - time limit, in milliseconds
 * @returns the elapsed time, in milliseconds; undefined after the time limit
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
