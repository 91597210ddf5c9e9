/** Log record of the choice of an endpoint for an attempt. Times are in milliseconds. */
export interface PlacementTrace {
    readonly endpoint: string;
    /** Time from the arrival of the request to this choice. */
    readonly afterMs: number;
    /** Expected cost in time by which the endpoint was chosen; it includes the costs of cold data and of errors. */
    readonly expectedMs: number;
    /** Requests in flight at the endpoint: this instance's, and those of the others as reported or as estimated by the stated load. */
    readonly inFlight: number;
    readonly slots: number;
    readonly isWarm: boolean;
    readonly slowness: number;
}
