import type { TimeReading } from "./TimeReading.js";

/**
 * Computes the time between two readings of the clocks: the longer that one of them shows, so that time in which the process or
 * its machine was frozen counts. A time of day that jumps forward makes it longer, never shorter.
 *
 * @param from - the earlier reading
 * @param to - the later reading
 * @returns the elapsed time, in milliseconds
 */
export const computeElapsedMs = (from: TimeReading, to: TimeReading): number =>
    Math.max(0, to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
