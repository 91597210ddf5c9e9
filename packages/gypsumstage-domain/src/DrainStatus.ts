import type { Drain } from "./Drain.js";

/** Progress of a drain. */
export interface DrainStatus extends Drain {
    /** Requests still in flight in the drained scope, from instances heard of recently. */
    readonly inFlight: number;
    /** Instances in the scope that were not heard of recently: their part of `inFlight` is not known. */
    readonly unheard: readonly string[];
    readonly state: "draining" | "drained" | "unknown";
}
