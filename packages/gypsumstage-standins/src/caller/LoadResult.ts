import type { CallerRequest } from "./CallerRequest.js";
import type { CallerResult } from "./CallerResult.js";

/** A request of a load with its result; the latency counts from when the request was due. */
export interface LoadResult extends CallerResult {
    readonly req: CallerRequest;
    /** When the request was due, from the start of the load, in milliseconds. */
    readonly dueAtMs: number;
}
