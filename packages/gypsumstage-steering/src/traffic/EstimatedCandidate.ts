import type { PlacementCandidate } from "./PlacementCandidate.js";

/** A candidate endpoint whose load is estimated from figures of some age. */
export interface EstimatedCandidate extends PlacementCandidate {
    /** Part of `inFlight` that other instances have likely sent since the load was stated. */
    readonly newInFlight: number;
    /** Standard deviation of `inFlight`. */
    readonly deviation: number;
    /** Typical time of the request on warm data, in milliseconds. */
    readonly workMs: number;
    /** Mean time of the requests that may wait ahead of it, in milliseconds. */
    readonly queueWorkMs: number;
    /** True beyond the object's usual candidates; used when those are likely full or would keep it waiting for long. */
    readonly isFurther: boolean;
}
