/** A suspect request, as one instance tells it to others. Ages are in milliseconds. */
export interface SuspectNotice {
    readonly digest: string;
    readonly headHash: number;
    /** For each endpoint that ended, a hash of its run and the time since then. */
    readonly ended: readonly (readonly [run: string, ageMs: number])[];
    /** Time since an endpoint last ran the request successfully; absent when none is known to have done so. */
    readonly answeredAgeMs?: number;
}
