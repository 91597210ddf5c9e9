import type { CallerRequest } from "./CallerRequest.js";
import type { CallerResult } from "./CallerResult.js";

/** A request of a load with its result; `latencyMs` counts from the time at which the request was due. */
export interface LoadResult extends CallerResult {
    readonly req: CallerRequest;
    /** Time at which the request was due, after the start of the load, in milliseconds. */
    readonly dueAfterMs: number;
}
