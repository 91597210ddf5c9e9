import type { CallerRequest } from "./CallerRequest.js";

/** An open-loop load: requests are sent at fixed times, whether or not earlier ones have ended. */
export interface Load {
    readonly ratePerSecond: number;
    readonly durationMs: number;
    /** Creates the request with the given index, from 0. */
    readonly createRequest: (index: number) => CallerRequest;
}
