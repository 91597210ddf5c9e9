import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { PlaceState } from "./PlaceState.js";

/** What decides which endpoints an entry serves and how many of their slots. */
export interface EndpointListing {
    readonly view: SteeringView;
    readonly places: PlaceState;
    readonly self: { readonly name: string; readonly dataCentre: string; };
}
