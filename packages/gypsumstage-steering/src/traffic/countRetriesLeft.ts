import type { RetryBudgetConfig } from "./RetryBudgetConfig.js";

/** Share of the ratio that instances use, so that the bound also holds in windows that begin at other times. */
const USED_RATIO_SHARE = 0.6;
/** Share of the slack that instances use; the rest covers instances that restart and lose their counts. */
const USED_SLACK_SHARE = 0.5;

/**
 * Returns how many retries and hedges this instance may still send. Each instance is limited to the ratio of its
 * own requests plus a fixed part of the slack, so the bound over all instances holds without coordination, also
 * when instances are partitioned, killed or added.
 *
 * @param cfg - the budget of all instances together
 * @param requests - requests for the service that this instance received within the window
 * @param retries - retries and hedges that it sent within the window
 * @param instanceCount - number of instances that share the slack; undefined while it isn't known, when none of it is used
 * @returns the remaining number, not rounded; a retry needs at least 1
 */
export const countRetriesLeft = (
    cfg: RetryBudgetConfig,
    requests: number,
    retries: number,
    instanceCount: number | undefined,
): number => {
    const ownSlack = instanceCount === undefined
        ? 0
        : cfg.slack * USED_SLACK_SHARE / Math.max(1, instanceCount);
    return Math.max(0, cfg.ratio * USED_RATIO_SHARE * requests + ownSlack - retries);
};
