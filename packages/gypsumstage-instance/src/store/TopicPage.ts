import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";

/** One page of a topic's records. */
export interface TopicPage {
    readonly records: readonly TopicRecord[];
    /** True when there are more records after the last one. */
    readonly hasMore: boolean;
    /** Era of the store; revisions of another era cannot be compared with this page's. */
    readonly era: number;
    /** Revision of the store at which the page was read. */
    readonly revision: number;
}
