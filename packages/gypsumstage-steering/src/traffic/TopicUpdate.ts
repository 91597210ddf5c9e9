import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";

/**
 * What one instance sends to another to bring its copy of a topic up to date. With `removed` or `names`, `records` holds
 * only those that changed since the requested revision of the same era; with neither, it holds all records.
 */
export interface TopicUpdate {
    /** Era of the store to which the revisions belong; 0 when absent. */
    readonly era?: number;
    readonly revision: number;
    readonly records: readonly TopicRecord[];
    /** Names of the records that were removed since the requested revision. */
    readonly removed?: readonly string[];
    /** Names of all records, if the removals since the requested revision are not known. */
    readonly names?: readonly string[];
    /** Records of earlier eras that stay in force, all of them; absent when there are none. */
    readonly carried?: readonly {
        readonly record: TopicRecord;
        /** Time for which it still does, in milliseconds; absent when only a later value replaces it. */
        readonly remainingMs?: number;
    }[];
}
