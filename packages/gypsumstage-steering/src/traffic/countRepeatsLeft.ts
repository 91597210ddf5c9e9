import type { RetryBounds } from "./RetryBounds.js";

/** Share of the ratio that instances use, so that the bound also holds in windows that begin at other times. */
const USED_RATIO_SHARE = 0.6;
/** Share of the slack that instances use; the rest covers instances that restart and lose their counts. */
const USED_SLACK_SHARE = 0.5;

/**
 * Returns how many retries and hedges this instance may still send. Each instance is limited to the ratio of its
 * own requests plus a fixed part of the slack, so the bound over all instances holds without coordination, also
 * when instances are partitioned, killed or added.
 *
 * @param bounds - the bounds over all instances
 * @param requests - requests for the service that this instance received within the window
 * @param retries - retries and hedges that it sent within the window
 * @param instanceCount - number of instances that share the slack
 * @returns the remaining number, not rounded; a retry needs at least 1
 */
export const countRepeatsLeft = (
    bounds: RetryBounds,
    requests: number,
    retries: number,
    instanceCount: number,
): number => {
    const ownSlack = bounds.slack * USED_SLACK_SHARE / Math.max(1, instanceCount);
    return Math.max(0, bounds.ratio * USED_RATIO_SHARE * requests + ownSlack - retries);
};
