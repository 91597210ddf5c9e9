import type { RampState } from "./RampState.js";

const INITIAL_FRACTION = 0.05;
const GROWTH_FACTOR = 1.6;
const BACKOFF_FACTOR = 0.5;
const STEP_PERIOD_MS = 1_000;

/**
 * Advances a gradual shift of work by one step when a step is due. The shifted fraction grows only while the receiver
 * meets its latency target, because shifted work reaches cold caches; otherwise the fraction is reduced.
 *
 * @param ramp - the progress so far; undefined at the start
 * @param nowMs - the monotonic time
 * @param isReceiverHealthy - whether the receiver met the latency target and refused nothing since the last step
 * @returns the next progress; `ramp` itself when no step is due
 */
export const advanceRamp = (
    ramp: RampState | undefined,
    nowMs: number,
    isReceiverHealthy: boolean,
): RampState => {
    if (ramp === undefined) {
        return { fraction: INITIAL_FRACTION, steppedAtMs: nowMs };
    }
    if (nowMs - ramp.steppedAtMs < STEP_PERIOD_MS) {
        return ramp;
    }
    const fraction = isReceiverHealthy
        ? Math.min(1, ramp.fraction * GROWTH_FACTOR)
        : Math.max(INITIAL_FRACTION, ramp.fraction * BACKOFF_FACTOR);
    return { fraction, steppedAtMs: nowMs };
};
