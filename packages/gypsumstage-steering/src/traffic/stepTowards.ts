/**
 * Moves a value towards a target by at most a given step.
 *
 * @param value - the current value
 * @param target - the value to approach
 * @param maxStep - largest change in either direction
 * @returns the next value
 */
export const stepTowards = (value: number, target: number, maxStep: number): number =>
    value + Math.max(-maxStep, Math.min(maxStep, target - value));
