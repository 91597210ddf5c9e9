import { performance } from "node:perf_hooks";

/**
 * Reads the monotonic clock of this process.
 *
 * @returns milliseconds since an arbitrary start; never steps back
 */
export const monotonicNow = (): number => performance.now();
