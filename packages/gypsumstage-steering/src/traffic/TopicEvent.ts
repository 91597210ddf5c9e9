import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";
import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import type { CarriedRecord } from "./CarriedRecord.js";

/**
 * An update of a topic. Records that the store removed stay in use until `retainUntilMs` (monotonic); when it is
 * undefined, they are removed immediately. Revisions are those of the given era.
 */
export type TopicEvent =
    | {
        readonly kind: "listed";
        readonly records: readonly TopicRecord[];
        readonly era: number;
        readonly revision: number;
        readonly retainUntilMs: number | undefined;
        /** Current monotonic time. */
        readonly nowMs: number;
    }
    | {
        readonly kind: "changed";
        readonly changes: readonly TopicChange[];
        readonly era: number;
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
        readonly era: number;
        readonly revision: number;
    }
    /** Records of earlier eras that stay in force at another instance. */
    | { readonly kind: "carried"; readonly era: number; readonly carried: readonly CarriedRecord[]; }
    | { readonly kind: "time-passed"; readonly nowMs: number; };
