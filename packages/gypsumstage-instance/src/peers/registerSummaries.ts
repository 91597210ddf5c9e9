/** Time between two messages with summaries. */
const SUMMARY_INTERVAL_MS = 250;
/** Share by which the time varies, so that instances that started together don't send together. */
const JITTER_SHARE = 0.2;

/**
 * Sends summaries at intervals.
 *
 * @param send - sends a message with summaries to some instance
 * @returns the function that stops it
 */
export const registerSummaries = (send: () => void): () => void => {
    let timer: NodeJS.Timeout;
    const schedule = (): void => {
        const jitter = 1 + JITTER_SHARE * (Math.random() - 0.5);
        timer = setTimeout(() => {
            send();
            schedule();
        }, SUMMARY_INTERVAL_MS * jitter);
    };
    schedule();
    return () => clearTimeout(timer);
};
