/** Values that are read when the metrics are scraped; an undefined value is left out. */
export interface InstanceGauges {
    readonly policyVersion: number | undefined;
    readonly endpoints: number;
    readonly livePeers: number;
    readonly inFlight: number;
    /** Time since the store last answered this instance or, if that is more recent, a peer; in milliseconds. */
    readonly storeAgeMs: number | undefined;
    /** Retries and hedges that the budget still allows, by service. */
    readonly retriesLeft: Readonly<Record<string, number>>;
}
