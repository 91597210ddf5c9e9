import { build } from "hdr-histogram-js";

const MICROSECONDS_PER_MS = 1_000;

/**
 * Computes percentiles of latencies with a histogram of three significant digits.
 *
 * @param latenciesMs - latencies, in milliseconds
 * @returns the 50th and 99th percentile, in milliseconds, and the number of latencies
 */
export const summarizeLatencies = (
    latenciesMs: readonly number[],
): { readonly p50: number; readonly p99: number; readonly count: number; } => {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    latenciesMs.forEach(latencyMs =>
        histogram.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)))
    );
    const getPercentileMs = (percentile: number): number =>
        histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return { p50: getPercentileMs(50), p99: getPercentileMs(99), count: latenciesMs.length };
};
