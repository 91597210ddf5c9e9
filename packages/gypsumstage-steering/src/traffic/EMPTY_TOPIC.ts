import type { TopicState } from "./TopicState.js";

/** State of a topic before its first listing. */
export const EMPTY_TOPIC: TopicState = {
    era: 0,
    revision: undefined,
    changedRevision: undefined,
    records: new Map(),
    carried: new Map(),
    digest: 0,
    expiryByName: new Map(),
    removals: new Map(),
    removalsSince: undefined,
    departures: new Map(),
};
