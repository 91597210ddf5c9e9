import { readTime } from "../keys/readTime.js";

/** Lead of the time of day from which it counts: above what its gradual corrections add between two readings. */
const MIN_LEAD_MS = 50;

/**
 * Creates a clock for what ends after a time, also when the process or the machine was suspended meanwhile: it takes the
 * longer elapsed time of the monotonic clock and the time of day. It never goes back.
 *
 * @param read - reads the clocks of the machine
 * @returns the clock, in milliseconds
 */
export const createLeaseClock = (read = readTime): () => number => {
    let offsetMs = 0;
    let last = read();
    return () => {
        const next = read();
        const leadMs = next.wallMs - last.wallMs - (next.monotonicMs - last.monotonicMs);
        if (leadMs > MIN_LEAD_MS) {
            offsetMs += leadMs;
        }
        last = next;
        return next.monotonicMs + offsetMs;
    };
};
