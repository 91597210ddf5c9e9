import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";

/**
 * A record of an earlier era of the store that stays in force, because the store's present one is older or missing: the
 * store was restored from a copy, and its writer has not written again yet.
 */
export interface CarriedRecord {
    readonly record: TopicRecord;
    /** When it ends (monotonic, milliseconds); undefined when only a later value of the store replaces it. */
    readonly untilMs: number | undefined;
}
