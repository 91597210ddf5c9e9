/**
 * Runs an asynchronous step again and again; the next run starts a fixed pause after the last one ended,
 * so that a slow step never overlaps itself.
 *
 * @param step - the work; its failures are handed to `onFailure`
 * @param pauseMs - returns the pause before the next run, in milliseconds
 * @param onFailure - hears of a step that threw
 * @returns the teardown, after which no further step starts
 */
export const registerRepeat = (
    step: () => Promise<void>,
    pauseMs: () => number,
    onFailure: (err: unknown) => void,
): () => void => {
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;
    const run = async (): Promise<void> => {
        try {
            await step();
        }
        catch (err) {
            onFailure(err);
        }
        if (!isStopped) {
            timer = setTimeout(() => void run(), pauseMs());
        }
    };
    void run();
    return () => {
        isStopped = true;
        clearTimeout(timer);
    };
};
