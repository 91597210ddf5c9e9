/** Shares of the live instances below which, and up to which, reports are too few to know the requests in flight. */
const MIN_REPORTED_SHARE = 0.5;
const SUFFICIENT_REPORTED_SHARE = 0.75;

/** What an instance observes of the sources of load figures. */
interface LoadSources {
    /** Instances that it knows to live, itself included. */
    readonly liveInstances: number;
    /** Instances whose requests in flight it knows by their reports, itself included. */
    readonly reportedInstances: number;
    /** Endpoints that stated their load. */
    readonly statedEndpoints: number;
}

/**
 * Decides whether requests are placed by the load that endpoints state, or by the requests in flight that instances report.
 * In a small fleet each instance reports to each other one, so the sum of the reports is complete and newer than most
 * statements. In a larger one an instance knows the requests of its own data centre only.
 *
 * @param sources - what is observed
 * @param isInUse - the decision so far; it changes only when the reported share has changed clearly
 * @returns true when the stated load is to be used
 */
export const choosesByStatedLoad = (sources: LoadSources, isInUse: boolean): boolean => {
    const reportedShare = sources.reportedInstances / Math.max(1, sources.liveInstances);
    return sources.statedEndpoints > 0
        && reportedShare < (isInUse ? SUFFICIENT_REPORTED_SHARE : MIN_REPORTED_SHARE);
};
