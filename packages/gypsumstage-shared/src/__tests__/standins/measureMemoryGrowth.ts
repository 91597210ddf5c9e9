const SAMPLE_MS = 10;

/**
 * Measures by how much the resident memory of this process grows during a task.
 *
 * @param task - the task
 * @returns the largest growth seen, in bytes
 */
export const measureMemoryGrowth = async (task: () => Promise<void>): Promise<number> => {
    const usedBefore = process.memoryUsage().rss;
    let growthBytes = 0;
    const sampling = setInterval(() => {
        growthBytes = Math.max(growthBytes, process.memoryUsage().rss - usedBefore);
    }, SAMPLE_MS);
    await task().finally(() => clearInterval(sampling));
    return growthBytes;
};
