import { once } from "node:events";

/**
 * Waits for work to finish or for a signal to abort, whichever comes first.
 *
 * @param work - the work; it is not cancelled by the abort, and its later result is ignored
 * @param signal - ends the wait when it aborts
 * @returns the result of the work, or undefined when the signal aborted first
 */
export const raceWithAbort = async <Value>(
    work: Promise<Value>,
    signal: AbortSignal,
): Promise<Value | undefined> => {
    if (signal.aborted) {
        return undefined;
    }
    const listenerController = new AbortController();
    const aborted = once(signal, "abort", { signal: listenerController.signal }).then(
        () => undefined,
        () => undefined,
    );
    try {
        return await Promise.race([work, aborted]);
    }
    finally {
        listenerController.abort();
    }
};
