import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { PlaceState } from "./PlaceState.js";

/** Input of `listEndpoints`. */
export interface EndpointListInput {
    readonly view: SteeringView;
    readonly places: PlaceState;
    readonly self: { readonly name: string; readonly dataCentre: string; };
}
