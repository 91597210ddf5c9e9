import type { IntentSections } from "@gypsumstage/domain/IntentSections";

/** Contents of an intent file. */
export interface IntentFile {
    /** Generation that the operator started from; undefined when the file has none. */
    readonly base: number | undefined;
    /** Sections of the intent, not validated yet. */
    readonly sections: IntentSections;
}
