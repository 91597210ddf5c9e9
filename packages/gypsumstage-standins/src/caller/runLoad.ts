import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import type { Caller } from "./Caller.js";
import type { Load } from "./Load.js";
import type { LoadResult } from "./LoadResult.js";

const MS_PER_SECOND = 1_000;

/**
 * Runs an open-loop load: sends each request when it is due, without waiting for earlier ones.
 *
 * @param getCaller - returns the caller that sends the request with the given index
 * @param load - rate, duration and requests
 * @returns one result per request, in the order of sending, when all requests have ended
 */
export const runLoad = async (
    getCaller: (index: number) => Caller,
    load: Load,
): Promise<readonly LoadResult[]> => {
    const startedAtMs = monotonicNow();
    const count = Math.floor(load.ratePerSecond * load.durationMs / MS_PER_SECOND);
    const pending: Promise<LoadResult>[] = [];
    for (let index = 0; index < count; index++) {
        const dueAfterMs = index / load.ratePerSecond * MS_PER_SECOND;
        const waitMs = startedAtMs + dueAfterMs - monotonicNow();
        if (waitMs > 1) {
            await sleep(waitMs);
        }
        const req = load.createRequest(index);
        const sendAndMeasure = async (): Promise<LoadResult> => {
            const res = await getCaller(index).send(req);
            return { ...res, req, dueAfterMs, latencyMs: monotonicNow() - startedAtMs - dueAfterMs };
        };
        pending.push(sendAndMeasure());
    }
    return Promise.all(pending);
};
