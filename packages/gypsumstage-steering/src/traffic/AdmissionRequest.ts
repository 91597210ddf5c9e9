/** A request that waits for a slot. Times are on the monotonic clock, in milliseconds. */
export interface AdmissionRequest {
    /** Rank among kinds of requests; 0 is the most urgent. */
    readonly priority: number;
    /** Name of the workspace; undefined for requests without one, which count as one workspace. */
    readonly workspace: string | undefined;
    readonly arrivedAtMs: number;
    /** Latest time of a response that has its full value. */
    readonly targetAtMs: number;
    /** Latest time of a response that has any value. */
    readonly deadlineAtMs: number;
}
