import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/** Input from which the response to a lookup is created. */
export interface LookupInput {
    readonly view: SteeringView;
    /** Data centre and region of the instance of this process. */
    readonly self: { readonly dataCentre: string; readonly region: string; };
    /**
     * Send time of the last successful request to the steer process, on the monotonic clock; before the first one, the
     * current time. The ages of records are computed at this time.
     */
    readonly viewAtMs: number;
    /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
}
