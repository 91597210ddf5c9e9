/** What an entry knows of one endpoint of its data centre, from its own requests. */
export interface EndpointState {
    readonly name: string;
    readonly launch: string;
    readonly service: string;
    readonly address: string;
    /** Slots that belong to this entry's place. */
    readonly ownSlots: number;
    /** Slots of places that nobody occupies; usable only while the list of members is fresh. */
    readonly extraSlots: number;
    readonly inFlight: number;
    readonly inFlightLong: number;
    /** Recent latency as a multiple of the typical latency of the class; 1 when nothing is known. */
    readonly slowness: number;
    readonly isSlowed: boolean;
    /** When the next request may be sent to see whether a slowed endpoint has recovered. */
    readonly probeAtMs: number;
    /** No request is sent before this time, after a failure to connect or a refusal. */
    readonly blockedUntilMs: number;
    /** The list, a drain or the endpoint itself says that it gets no new work. */
    readonly isLeaving: boolean;
    /** The endpoint itself has signalled that it leaves; that stays so for its launch. */
    readonly hasSignalled: boolean;
}
