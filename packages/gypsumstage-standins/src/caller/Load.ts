import type { CallerRequest } from "./CallerRequest.js";

/** An open-loop load: requests are due at fixed times, whether or not earlier ones have ended. */
export interface Load {
    readonly ratePerSecond: number;
    readonly durationMs: number;
    /** Makes the request with the given number. */
    readonly make: (index: number) => CallerRequest;
}
