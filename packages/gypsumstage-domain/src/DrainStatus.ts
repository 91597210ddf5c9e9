import type { Drain } from "./Drain.js";

/** Progress of a drain. */
export interface DrainStatus extends Drain {
    /** Requests still in flight in the drained scope, as reported by the instances with a recent record. */
    readonly inFlight: number;
    /** Instances in the scope without a recent record; their requests are not counted in `inFlight`. */
    readonly unheard: readonly string[];
    readonly state: "draining" | "drained" | "unknown";
}
