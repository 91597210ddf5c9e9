/** Figures that are read when somebody asks for the metrics; one that is not known is left out. */
export interface InstanceGauges {
    readonly policyVersion: number | undefined;
    readonly endpoints: number;
    readonly livePeers: number;
    readonly inFlight: number;
    /** Time since this instance, or the peer that knows more, last heard from the store, in milliseconds. */
    readonly storeAgeMs: number | undefined;
    /** Second attempts left, by service. */
    readonly repeatsLeft: Readonly<Record<string, number>>;
}
