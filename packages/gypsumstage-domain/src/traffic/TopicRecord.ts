import type { TopicValue } from "./TopicValue.js";

/** One object of a topic. */
export interface TopicRecord {
    readonly name: string;
    /** Revision of the store at which the object last changed; unique within an era only. */
    readonly revision: number;
    readonly value: TopicValue;
}
