import type { AttemptStart } from "./AttemptStart.js";
import type { FinishedAttempt } from "./FinishedAttempt.js";
import type { PlacementTrace } from "./PlacementTrace.js";

/** The attempts of one request. */
export interface AttemptSet {
    /**
     * Chooses an endpoint that has not been tried yet and, if there is one, sends the request to it. Waits for a permit if
     * the endpoint is rate-limited.
     */
    readonly startNext: () => Promise<AttemptStart>;
    /** Whether a first attempt may find room now, going by the candidates of the last try; cheaper than a try. */
    readonly mayHaveRoom: () => boolean;
    /**
     * Does the same for a hedge: only at an endpoint with a free slot and without a rate limit, only within the retry
     * budget and the usage cap, and not if an endpoint ended while the request was in flight there.
     */
    readonly startHedge: () => Promise<void>;
    /** Promises of the results of the running attempts. */
    readonly running: () => readonly Promise<FinishedAttempt>[];
    /** Removes a finished attempt from the running ones and records its result. */
    readonly recordFinished: (attempt: FinishedAttempt) => void;
    /** Aborts all running attempts; no further one starts. */
    readonly abort: () => void;
    /** Whether an endpoint may have run the request, in a finished or a running attempt. */
    readonly mayHaveRun: () => boolean;
    /** The choices of an endpoint, one for each attempt, in order. */
    readonly placements: () => readonly PlacementTrace[];
    /** Endpoints to which the request was sent, including running attempts. */
    readonly sentCount: () => number;
    /** Endpoints to which nothing could be sent. */
    readonly unsentCount: () => number;
}
