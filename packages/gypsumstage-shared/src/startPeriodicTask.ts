/**
 * Starts a periodic task with a pause between runs. The pause begins when a run ends, so that runs of a slow
 * task never overlap. The first run starts immediately.
 *
 * @param task - the task; if it rejects, `onFailure` is called and the next run is scheduled as usual
 * @param getPauseMs - returns the pause before the next run, in milliseconds; called after each run
 * @param onFailure - called with the error of a failed run
 * @returns a function that stops the task: a run in progress completes, and no further run starts
 */
export const startPeriodicTask = (
    task: () => Promise<void>,
    getPauseMs: () => number,
    onFailure: (err: unknown) => void,
): () => void => {
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;
    const run = async (): Promise<void> => {
        try {
            await task();
        }
        catch (err) {
            onFailure(err);
        }
        if (!isStopped) {
            timer = setTimeout(() => void run(), getPauseMs());
        }
    };
    void run();
    return () => {
        isStopped = true;
        clearTimeout(timer);
    };
};
