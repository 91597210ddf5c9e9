import type { LoadSummary } from "@gypsumstage/steering/traffic/LoadSummary";

/** Values that are read when the metrics are scraped; an undefined value is left out. */
export interface InstanceGauges {
    readonly policyVersion: number | undefined;
    readonly endpoints: number;
    readonly livePeers: number;
    readonly inFlight: number;
    /** Time since this instance or, if that is more recent, a peer last read the store; in milliseconds. */
    readonly storeAgeMs: number | undefined;
    /** Time since this instance's copies were last known to be those of the store, in milliseconds. */
    readonly copyAgeMs: number | undefined;
    /** Age of the latest confirmation of the configuration, in milliseconds; undefined where none is needed. */
    readonly policyConfirmationAgeMs: number | undefined;
    /** Whether the store holds a configuration that this instance does not accept. */
    readonly isPolicyRejected: boolean;
    /** Retries and hedges that the budget still allows, by service. */
    readonly retriesLeft: Readonly<Record<string, number>>;
    /** Requests that wait in this instance, by service; services at which none ever waited are left out. */
    readonly queued: Readonly<Record<string, number>>;
    /** Loads that the endpoints stated, by service. */
    readonly endpointLoads: ReadonlyMap<string, LoadSummary>;
    /** Memory that responses take, from their first byte until their callers' connections have taken them. */
    readonly responseBytes: number;
    /** Callers that were cut off, as they read nothing while the memory for responses was short. */
    readonly cutCallers: number;
    readonly suspectRequests: number;
    /** Number of services to whose endpoints no connection can be opened. */
    readonly cutServices: number;
}
