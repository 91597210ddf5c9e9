import type { LatencyPeaks } from "./LatencyPeaks.js";

/** Length of a period. */
const PERIOD_MS = 30_000;

/**
 * Records the latency of a request.
 *
 * @param peaks - the peaks so far; undefined before the first request
 * @param latencyMs - latency of the request, in milliseconds
 * @param nowMs - current monotonic time
 * @returns the next peaks, of the last one to two periods
 */
export const updateLatencyPeaks = (
    peaks: LatencyPeaks | undefined,
    latencyMs: number,
    nowMs: number,
): LatencyPeaks => {
    if (peaks === undefined || nowMs - peaks.startedAtMs >= 2 * PERIOD_MS) {
        return { startedAtMs: nowMs, currentMs: latencyMs, previousMs: latencyMs };
    }
    return nowMs - peaks.startedAtMs >= PERIOD_MS
        ? { startedAtMs: nowMs, currentMs: latencyMs, previousMs: peaks.currentMs }
        : { ...peaks, currentMs: Math.max(peaks.currentMs, latencyMs) };
};
