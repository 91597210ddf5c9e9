import type { PlacementCandidate } from "./PlacementCandidate.js";

/** A candidate endpoint whose load is estimated from figures of some age. */
export interface EstimatedCandidate extends PlacementCandidate {
    /** Part of `inFlight` that other instances have likely sent since the load was stated. */
    readonly newInFlight: number;
    /** Standard deviation of `inFlight`. */
    readonly deviation: number;
    /** True beyond the object's usual candidates; used only when those are likely full. */
    readonly isFurther: boolean;
}
