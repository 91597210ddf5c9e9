/** The last run of an endpoint that is gone. */
export interface Departure {
    /** Start of the run, as the endpoint stated it. */
    readonly startedAt: number;
    /** True when it had announced that it was leaving; false when its entry was removed without that. */
    readonly wasAnnounced: boolean;
}
