import type { IntentSections } from "@gypsumstage/domain/IntentSections";

/** An intent as a file holds it. */
export interface IntentFile {
    /** Generation that the operator started from; undefined when the file does not say. */
    readonly base: number | undefined;
    readonly sections: IntentSections;
}
