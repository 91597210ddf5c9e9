import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/** What decides about the places of a data centre. */
export interface PlaceRequest {
    readonly view: SteeringView;
    readonly self: { readonly name: string; readonly launch: string; readonly dataCentre: string; };
    readonly nowMs: number;
}
