import type { TopicState } from "./TopicState.js";

/** State of a topic before its first listing. */
export const EMPTY_TOPIC: TopicState = {
    revision: undefined,
    changedRevision: undefined,
    records: new Map(),
    digest: 0,
    expiryByName: new Map(),
    removals: new Map(),
    removalsSince: undefined,
};
