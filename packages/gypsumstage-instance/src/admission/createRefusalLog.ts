import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";

const LOG_INTERVAL_MS = 1_000;

/**
 * Creates the log of refusals of waiting requests: at most one line a second, with what was refused since the last one.
 *
 * @param service - the service whose requests wait
 * @param log - receives the lines
 * @returns a function to be called for each refusal, with its reason and the number of requests that still wait
 */
export const createRefusalLog = (service: string, log: Log): (reason: string, waiting: number) => void => {
    let counts = new Map<string, number>();
    let loggedAtMs = -Infinity;
    return (reason, waiting) => {
        counts.set(reason, (counts.get(reason) ?? 0) + 1);
        if (monotonicNow() - loggedAtMs >= LOG_INTERVAL_MS) {
            loggedAtMs = monotonicNow();
            log("info", "queue-refusals", { service, waiting, refused: Object.fromEntries(counts) });
            counts = new Map();
        }
    };
};
