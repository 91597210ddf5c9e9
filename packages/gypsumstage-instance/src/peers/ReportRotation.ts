/** Order in which reports reach all peers over a round, and in which they list them. */
export interface ReportRotation {
    /** Returns the addresses that get the next batch of reports. */
    readonly nextTargets: (addresses: readonly string[]) => readonly string[];
    /** Returns the addresses that the reports of the next batch list. */
    readonly nextListed: (addresses: readonly string[]) => readonly string[];
}
