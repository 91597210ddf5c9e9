import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/** What a look-up is answered from. */
export interface LookupInput {
    readonly view: SteeringView;
    readonly self: { readonly dataCentre: string; readonly region: string; };
    /** Time of the view: when the steer process last answered. */
    readonly viewAtMs: number;
    readonly random: () => number;
}
