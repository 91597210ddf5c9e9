import type { EndpointLoad } from "./EndpointLoad.js";

/** The newest load that an endpoint is known to have stated. Times are monotonic, in milliseconds. */
export interface LoadFigure {
    readonly load: EndpointLoad;
    /** When it was stated, as far as this instance can tell. */
    readonly statedAtMs: number;
    /** Requests of the other instances in flight there at that time: the stated ones without this instance's own. */
    readonly othersInFlight: number;
    /** Moving average of `othersInFlight` over the figures so far. */
    readonly meanOthersInFlight: number;
}
