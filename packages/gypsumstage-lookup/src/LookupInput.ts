import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/** Input from which the response to a lookup is created. */
export interface LookupInput {
    readonly view: SteeringView;
    /** Data centre and region of the instance of this process. */
    readonly self: { readonly dataCentre: string; readonly region: string; };
    /** Time of the last synchronization with the steer process, on the monotonic clock. */
    readonly viewAtMs: number;
    /** Returns a random number from 0 up to, but not including, 1. */
    readonly random: () => number;
}
