import { build } from "hdr-histogram-js";

const MICROSECONDS = 1_000;

/**
 * Computes quantiles of latencies with a histogram.
 *
 * @param latenciesMs - the latencies, in milliseconds
 * @returns quantiles, in milliseconds
 */
export const summarizeLatencies = (
    latenciesMs: readonly number[],
): { readonly p50: number; readonly p99: number; readonly count: number; } => {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    latenciesMs.forEach(latency => histogram.recordValue(Math.max(1, Math.round(latency * MICROSECONDS))));
    const at = (quantile: number): number => histogram.getValueAtPercentile(quantile) / MICROSECONDS;
    return { p50: at(50), p99: at(99), count: latenciesMs.length };
};
