import type { LoadEstimate } from "./LoadEstimate.js";
import type { LoadFigure } from "./LoadFigure.js";

/** Deviation of a figure that has just been stated: requests on their way to the endpoint, and responses from it. */
const MIN_DEVIATION = 0.5;

/**
 * Estimates the present load of an endpoint whose figure is old, where many instances choose by such figures. The
 * requests of this instance are known at any time. Of the others' requests that the figure counts, a share that grows with
 * the age has finished, and new ones have come at their average rate; so the number approaches its average within the time
 * that requests take, and its uncertainty that of independent arrivals.
 *
 * @param figure - the newest figure of the endpoint
 * @param nowMs - current monotonic time
 * @param ownInFlight - requests of this instance in flight at the endpoint
 * @param reportedInFlight - requests in flight there according to the latest reports of other instances
 * @param workMs - typical time that a request takes there, in milliseconds
 * @returns the estimate
 */
export const estimateLoad = (
    figure: LoadFigure,
    nowMs: number,
    ownInFlight: number,
    reportedInFlight: number,
    workMs: number,
): LoadEstimate => {
    const remainingShare = Math.exp(-Math.max(0, nowMs - figure.statedAtMs) / workMs);
    const { othersInFlight, meanOthersInFlight } = figure;
    const expectedOthers = meanOthersInFlight + (othersInFlight - meanOthersInFlight) * remainingShare;
    const finishedOrNew = Math.max(meanOthersInFlight, othersInFlight) * (1 - remainingShare ** 2);
    return {
        inFlight: ownInFlight + Math.max(reportedInFlight, expectedOthers),
        newInFlight: meanOthersInFlight * (1 - remainingShare),
        deviation: Math.sqrt(MIN_DEVIATION ** 2 + finishedOrNew),
    };
};
