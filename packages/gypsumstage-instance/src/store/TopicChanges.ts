import type { TopicChange } from "@gypsumstage/domain/traffic/TopicChange";

/** The changes of a topic since the requested revision. */
export interface TopicChanges {
    readonly changes: readonly TopicChange[];
    /** Era of the store; revisions of another era cannot be compared with these changes'. */
    readonly era: number;
    /** Revision of the store up to which the changes are complete. */
    readonly revision: number;
}
