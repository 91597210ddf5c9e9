import type { Placement } from "@gypsumstage/steering/traffic/Placement";
import type { FinishedAttempt } from "./FinishedAttempt.js";
import type { PlacementTrace } from "./PlacementTrace.js";

/** The attempts made for one request. */
export interface AttemptSet {
    /** Places the request at an endpoint that was not tried yet, and sends it there when there is one. */
    readonly startNext: () => Placement;
    /** Does the same for a second attempt that is to save time: only at an endpoint with a free slot. */
    readonly startHedge: () => Placement;
    /** Waits for each running attempt. */
    readonly running: () => readonly Promise<FinishedAttempt>[];
    /** Takes an attempt that came to an end out of the running ones. */
    readonly settle: (attempt: FinishedAttempt) => void;
    /** Gives all running attempts up. */
    readonly abort: () => void;
    /** True when an attempt that ended may have run, or one is still running. */
    readonly mayHaveRun: () => boolean;
    /** Where the request was placed and why, in order. */
    readonly history: () => readonly PlacementTrace[];
    /** Endpoints that got the request, running ones included. */
    readonly sentCount: () => number;
    /** Endpoints that could not be reached. */
    readonly unsentCount: () => number;
}
