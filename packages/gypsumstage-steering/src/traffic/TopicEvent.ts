import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";
import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";

/**
 * An update of a topic. Records that the store removed stay in use until `retainUntilMs` (monotonic); when it is
 * undefined, they are removed immediately.
 */
export type TopicEvent =
    | {
        readonly kind: "listed";
        readonly records: readonly TopicRecord[];
        readonly revision: number;
        readonly retainUntilMs: number | undefined;
    }
    | {
        readonly kind: "changed";
        readonly changes: readonly TopicChange[];
        readonly revision: number;
        readonly retainUntilMs: number | undefined;
    }
    /**
     * The records that changed since the copy's revision, and the names of all records that exist. Unlike the changes, it
     * does not tell of records that were added and removed in between.
     */
    | {
        readonly kind: "merged";
        readonly records: readonly TopicRecord[];
        readonly names: readonly string[];
        readonly revision: number;
    }
    | { readonly kind: "time-passed"; readonly nowMs: number; };
