import { once } from "node:events";

/**
 * Waits for work, but not beyond the moment at which a signal aborts.
 *
 * @param work - the work; it goes on unheard after the abort
 * @param signal - the signal
 * @returns the result of the work, or undefined when the signal came first
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
