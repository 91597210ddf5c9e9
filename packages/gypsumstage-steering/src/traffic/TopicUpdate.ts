import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";

/**
 * What one instance sends to another to bring its copy of a topic up to date. With `removed` or `names`, `records` holds
 * only those that changed since the requested revision; with neither, it holds all records.
 */
export interface TopicUpdate {
    readonly revision: number;
    readonly records: readonly TopicRecord[];
    /** Names of the records that were removed since the requested revision. */
    readonly removed?: readonly string[];
    /** Names of all records, if the removals since the requested revision are not known. */
    readonly names?: readonly string[];
}
