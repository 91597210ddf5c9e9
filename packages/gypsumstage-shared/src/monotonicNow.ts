import { performance } from "node:perf_hooks";

/**
 * Returns the time of the monotonic clock of this process.
 *
 * @returns milliseconds since an arbitrary start; the value never decreases
 */
export const monotonicNow = (): number => performance.now();
