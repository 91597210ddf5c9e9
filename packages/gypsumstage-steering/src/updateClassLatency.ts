import type { ClassLatency } from "./ClassLatency.js";

const HIGH_QUANTILE = 0.95;
const STEP = 0.05;
const MIN_LATENCY_MS = 0.1;

const moveTowards = (estimate: number, sample: number, quantile: number): number =>
    sample > estimate
        ? estimate * (1 + STEP * quantile)
        : estimate / (1 + STEP * (1 - quantile));

/**
 * Takes one latency into the running estimates of the median and the 95th percentile. Each sample moves an
 * estimate by a small factor, so that a few slow endpoints do not move the median.
 *
 * @param held - the estimates so far
 * @param sampleMs - the latency seen, in milliseconds
 * @returns the next estimates
 */
export const updateClassLatency = (held: ClassLatency | undefined, sampleMs: number): ClassLatency => {
    const sample = Math.max(MIN_LATENCY_MS, sampleMs);
    if (held === undefined) {
        return { medianMs: sample, highMs: sample * 2, count: 1 };
    }
    const medianMs = moveTowards(held.medianMs, sample, 1 / 2);
    const highMs = Math.max(medianMs, moveTowards(held.highMs, sample, HIGH_QUANTILE));
    return { medianMs, highMs, count: held.count + 1 };
};
