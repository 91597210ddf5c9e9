/** Quantile that is estimated; most requests run on warm data, so it lies among those. */
const TRACKED_QUANTILE = 0.4;
/** Change of the estimate with one measurement, as a share of its value. */
const STEP_SHARE = 0.04;

/**
 * Updates the estimate of a service's typical latency on warm data. The estimate is a quantile instead of
 * a mean, so that rare long requests and requests on cold data do not raise it.
 *
 * @param typicalMs - the estimate so far, in milliseconds
 * @param sampleMs - the newest measurement, in milliseconds
 * @returns the next estimate, in milliseconds
 */
export const updateTypicalLatency = (typicalMs: number, sampleMs: number): number =>
    sampleMs > typicalMs
        ? typicalMs * (1 + STEP_SHARE * TRACKED_QUANTILE)
        : typicalMs * (1 - STEP_SHARE * (1 - TRACKED_QUANTILE));
