import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";

/** All records of a topic, as one instance sends them to another. */
export interface TopicSnapshot {
    readonly revision: number;
    readonly records: readonly TopicRecord[];
}
