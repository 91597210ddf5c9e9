import type { RampState } from "./RampState.js";

const FIRST_PART = 0.05;
const GROWTH = 1.6;
const FALLBACK = 0.5;
const STEP_MS = 1_000;

/**
 * Advances a shift by one step when a step is due. It grows only while the receiver keeps its latency target,
 * because shifted work lands on cold caches; otherwise it falls back.
 *
 * @param ramp - the progress so far; undefined at the start
 * @param nowMs - the monotonic time
 * @param isReceiverHealthy - whether the receiver met the target and refused nothing since the last step
 * @returns the next progress
 */
export const advanceRamp = (
    ramp: RampState | undefined,
    nowMs: number,
    isReceiverHealthy: boolean,
): RampState => {
    if (ramp === undefined) {
        return { part: FIRST_PART, steppedAtMs: nowMs };
    }
    if (nowMs - ramp.steppedAtMs < STEP_MS) {
        return ramp;
    }
    const part = isReceiverHealthy
        ? Math.min(1, ramp.part * GROWTH)
        : Math.max(FIRST_PART, ramp.part * FALLBACK);
    return { part, steppedAtMs: nowMs };
};
