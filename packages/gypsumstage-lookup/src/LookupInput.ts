import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/** Input from which the response to a lookup is created. */
export interface LookupInput {
    readonly view: SteeringView;
    /** Data centre and region of the instance of this process. */
    readonly self: { readonly dataCentre: string; readonly region: string; };
    /** Monotonic time of the last successful synchronization with the steer process. */
    readonly viewAtMs: number;
    /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
}
