/** Status that an entry process reports about itself. */
export interface EntryStatus {
    readonly incarnation: string;
    readonly isLeaving: boolean;
    readonly generation: number;
    /** Requests in flight at endpoints of the data centre, by service. */
    readonly inFlight: Readonly<Record<string, number>>;
    /** Endpoint slots that the entry may still fill with short work, by service. */
    readonly freeSlots: Readonly<Record<string, number>>;
    /** Endpoint slots that the entry may still fill with long work, by service. */
    readonly freeLongSlots: Readonly<Record<string, number>>;
    /** Demand of the entry for each budgeted resource, in the unit of the resource. */
    readonly demand: Readonly<Record<string, number>>;
    /** Requests in flight at each endpoint that is drained or leaving, by endpoint name. */
    readonly drainedInFlight: Readonly<Record<string, number>>;
    /** Launch that the entry regards as the occupant of each place in its data centre, by place name. */
    readonly acknowledged: Readonly<Record<string, string>>;
}
