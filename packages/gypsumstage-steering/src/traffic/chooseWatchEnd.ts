/**
 * Chooses until when a watch of the store may wait, so that of several watches one ends in each interval: each response shows
 * that the store is still reached.
 *
 * @param nowMs - current time
 * @param otherEndsMs - until when the other watches wait
 * @param intervalMs - longest time between two ends
 * @returns the end of the watch: as late as the others allow
 */
export const chooseWatchEnd = (
    nowMs: number,
    otherEndsMs: readonly number[],
    intervalMs: number,
): number => {
    let coveredUntilMs = nowMs;
    for (const endMs of [...otherEndsMs].sort((left, right) => left - right)) {
        if (endMs > nowMs && endMs - coveredUntilMs <= intervalMs) {
            coveredUntilMs = endMs;
        }
    }
    return coveredUntilMs + intervalMs;
};
