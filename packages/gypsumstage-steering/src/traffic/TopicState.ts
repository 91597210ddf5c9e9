import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";

/** An instance's copy of one topic of the store. */
export interface TopicState {
    /** Revision of the store up to which the records are complete; undefined before the first listing. */
    readonly revision: number | undefined;
    /** Revision of the last applied listing or change; the records may have last changed at an earlier one. */
    readonly changedRevision: number | undefined;
    readonly records: ReadonlyMap<string, TopicRecord>;
    /** Digest of the records. */
    readonly digest: number;
    /** Names of records that the store removed but that stay in use, with their expiry (monotonic, milliseconds). */
    readonly expiryByName: ReadonlyMap<string, number>;
    /** Names of removed records, with the revision at which this instance applied the removal. */
    readonly removals: ReadonlyMap<string, number>;
    /** Revision from which on `removals` is complete; undefined before the first listing. */
    readonly removalsSince: number | undefined;
}
