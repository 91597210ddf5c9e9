import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { EndpointHealth } from "@gypsumstage/steering/traffic/EndpointHealth";
import type { HealthEvent } from "@gypsumstage/steering/traffic/HealthEvent";
import type { EndpointLoads } from "./EndpointLoads.js";
import type { WorkTimes } from "./WorkTimes.js";

/** Health, requests in flight and warm objects of each endpoint, as observed by this instance. */
export interface EndpointTracker {
    readonly health: (id: string) => EndpointHealth;
    /** Records a health event; a cold endpoint no longer counts as warm for any object. */
    readonly recordHealthEvent: (id: string, event: HealthEvent) => void;
    /** Counts a request as in flight until the returned function is called, and marks the object as warm there. */
    readonly trackRequest: (id: string, objectKey: string) => () => void;
    /** Requests of this instance in flight, by endpoint. */
    readonly inFlight: () => Readonly<Record<string, number>>;
    readonly inFlightAt: (id: string) => number;
    /** Loads that the endpoints stated. */
    readonly loads: EndpointLoads;
    /** Times of requests at endpoints that stated that none waits. */
    readonly workTimes: WorkTimes;
    /** Returns whether this instance recently sent the endpoint a request for the object. */
    readonly isWarm: (id: string, objectKey: string) => boolean;
    /**
     * Typical latency of the service on warm data, in milliseconds; the first call for a service derives it from the
     * route's target, and measurements change it from then on.
     */
    readonly typicalMs: (service: string, targetLatencyMs: number) => number;
    /** Latency of the service's slowest request of the last minute or less, in milliseconds; undefined when none was measured. */
    readonly slowestMs: (service: string) => number | undefined;
    /** Updates the latencies of the service; the typical one only after the first call of `typicalMs` for it. */
    readonly recordLatency: (service: string, latencyMs: number) => void;
    /** Evicts what was observed of an endpoint, because it started again under the same id. */
    readonly forget: (id: string) => void;
    /** Evicts health and warm objects of endpoints that are not among the given ones. */
    readonly keepOnly: (endpoints: ReadonlyMap<string, UpstreamEndpoint>) => void;
}
