import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";

/** The inputs of steering: the configuration in force, the endpoints and the evacuated data centres. */
export interface FleetView {
    readonly policy: TrafficPolicy | undefined;
    /** False until endpoints and evacuations have each been listed once. */
    readonly isComplete: boolean;
    readonly endpoints: ReadonlyMap<string, UpstreamEndpoint>;
    readonly endpointsByService: ReadonlyMap<string, readonly UpstreamEndpoint[]>;
    /** Names of the data centres that get no requests. */
    readonly evacuatedDataCentres: ReadonlySet<string>;
}
