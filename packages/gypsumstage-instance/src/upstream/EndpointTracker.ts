import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { EndpointHealth } from "@gypsumstage/steering/traffic/EndpointHealth";
import type { HealthEvent } from "@gypsumstage/steering/traffic/HealthEvent";

/** What this instance has seen and does at each endpoint. */
export interface EndpointTracker {
    readonly health: (id: string) => EndpointHealth;
    /** Takes in what was seen; an endpoint that is cold has lost its objects' data. */
    readonly report: (id: string, event: HealthEvent) => void;
    /** Counts a request in flight; returns the function that ends the count. */
    readonly begin: (id: string, objectKey: string) => () => void;
    /** Requests of this instance in flight, by endpoint. */
    readonly inFlight: () => Readonly<Record<string, number>>;
    readonly inFlightAt: (id: string) => number;
    /** Tells whether this instance sent a request for the object to the endpoint lately. */
    readonly isWarm: (id: string, objectKey: string) => boolean;
    /** Usual time of the service's work on warm data, in milliseconds. */
    readonly typicalMs: (service: string, targetLatencyMs: number) => number;
    /** Takes in how long an answer took, in milliseconds; ignored before the service's usual time was asked for. */
    readonly measure: (service: string, latencyMs: number) => void;
    /** Forgets endpoints that are no longer registered. */
    readonly keepOnly: (endpoints: ReadonlyMap<string, UpstreamEndpoint>) => void;
}
