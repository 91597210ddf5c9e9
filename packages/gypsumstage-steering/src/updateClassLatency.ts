import type { ClassLatency } from "./ClassLatency.js";

const UPPER_QUANTILE = 0.95;
const STEP_FRACTION = 0.05;
const MIN_LATENCY_MS = 0.1;

const updateQuantile = (estimate: number, sample: number, quantile: number): number =>
    sample > estimate
        ? estimate * (1 + STEP_FRACTION * quantile)
        : estimate / (1 + STEP_FRACTION * (1 - quantile));

/**
 * Applies one latency sample to the running estimates of the median and the 95th percentile. Each sample changes an
 * estimate by a small factor, so that a few slow endpoints do not distort the median.
 *
 * @param current - the estimates so far; undefined before the first sample
 * @param sampleMs - the measured latency
 * @returns the next estimates
 */
export const updateClassLatency = (current: ClassLatency | undefined, sampleMs: number): ClassLatency => {
    const sample = Math.max(MIN_LATENCY_MS, sampleMs);
    if (current === undefined) {
        return { medianMs: sample, p95Ms: sample * 2, count: 1 };
    }
    const medianMs = updateQuantile(current.medianMs, sample, 1 / 2);
    const p95Ms = Math.max(medianMs, updateQuantile(current.p95Ms, sample, UPPER_QUANTILE));
    return { medianMs, p95Ms, count: current.count + 1 };
};
