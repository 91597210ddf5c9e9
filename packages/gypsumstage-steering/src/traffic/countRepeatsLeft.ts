import type { RetryBounds } from "./RetryBounds.js";

/** Part of the ratio that instances use, so that windows that begin at other moments stay within it. */
const USED_RATIO = 0.6;
/** Part of the slack that instances use; the rest is for instances that restart and forget. */
const USED_SLACK = 0.5;

/**
 * Counts the second attempts that this instance may still send. Each instance keeps to the ratio of its own
 * requests and to a fixed part of the slack, so the sum holds without any message between them, whoever is
 * cut off, killed or new.
 *
 * @param bounds - the bounds over all instances
 * @param requests - requests for the service that this instance took within the window
 * @param repeats - second attempts that it sent within the window
 * @param instances - how many instances share the slack
 * @returns how many more are within this instance's part, a fraction included
 */
export const countRepeatsLeft = (
    bounds: RetryBounds,
    requests: number,
    repeats: number,
    instances: number,
): number => {
    const ownSlack = bounds.slack * USED_SLACK / Math.max(1, instances);
    return Math.max(0, bounds.ratio * USED_RATIO * requests + ownSlack - repeats);
};
