import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/** Input of `updatePlaces`. */
export interface PlaceInput {
    readonly view: SteeringView;
    readonly self: { readonly name: string; readonly launch: string; readonly dataCentre: string; };
    readonly nowMs: number;
}
