import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import type { CarriedRecord } from "./CarriedRecord.js";
import type { Departure } from "./Departure.js";

/** An instance's copy of one topic of the store. */
export interface TopicState {
    /** Era of the store to which the revisions belong; it rises each time the store is restored from a copy. */
    readonly era: number;
    /** Revision of the store up to which the records are complete; undefined before the first listing. */
    readonly revision: number | undefined;
    /** Revision of the last applied listing or change; the records may have last changed at an earlier one. */
    readonly changedRevision: number | undefined;
    readonly records: ReadonlyMap<string, TopicRecord>;
    /** Records of earlier eras that stay in force in place of the store's, or beside them, by name. */
    readonly carried: ReadonlyMap<string, CarriedRecord>;
    /** Digest of the records. */
    readonly digest: number;
    /** Names of records that the store removed but that stay in use, with their expiry (monotonic, milliseconds). */
    readonly expiryByName: ReadonlyMap<string, number>;
    /** Names of removed records, with the revision at which this instance applied the removal. */
    readonly removals: ReadonlyMap<string, number>;
    /** Revision from which on `removals` is complete; undefined before the first listing. */
    readonly removalsSince: number | undefined;
    /** The endpoints that left last, by name. */
    readonly departures: ReadonlyMap<string, Departure>;
}
