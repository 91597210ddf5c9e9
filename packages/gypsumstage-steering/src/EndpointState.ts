/** State of one endpoint of the entry's data centre, derived from the entry's own requests and the list of members. */
export interface EndpointState {
    readonly name: string;
    readonly launch: string;
    readonly service: string;
    readonly address: string;
    /** Slots assigned to this entry's place. */
    readonly ownSlots: number;
    /** Additional slots, from unoccupied places; usable only while the list of members is fresh. */
    readonly extraSlots: number;
    readonly inFlight: number;
    readonly inFlightLong: number;
    /** Moving average of the latency as a multiple of the typical latency of the class; 1 before the first sample. */
    readonly slowness: number;
    readonly isSlowed: boolean;
    /** Earliest time of the next probe request to a slowed endpoint. */
    readonly probeAtMs: number;
    /** No request is sent before this time; set after a failed connect or a refusal. */
    readonly blockedUntilMs: number;
    /** Whether the endpoint must get no new work, because of the list of members, a drain or its own signal. */
    readonly isLeaving: boolean;
    /** Whether the endpoint itself signalled that it is leaving; never reset for the same launch. */
    readonly hasSignalled: boolean;
}
