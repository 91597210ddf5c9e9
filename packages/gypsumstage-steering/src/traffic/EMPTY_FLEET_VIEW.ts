import type { FleetView } from "./FleetView.js";

/** Fleet view of an instance before its first read of any topic. */
export const EMPTY_FLEET_VIEW: FleetView = {
    policy: undefined,
    isComplete: false,
    endpoints: new Map(),
    endpointsByService: new Map(),
    evacuatedDataCentres: new Set(),
};
