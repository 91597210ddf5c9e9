import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";

/** How old this instance's copies of the topics are, in milliseconds. */
export interface CopyAges {
    /** Takes into account what the other instances have told of their reads. */
    readonly update: (peers: readonly PeerState[]) => void;
    /** Age by this instance's own reads; undefined until every topic was read, and while this instance does not follow the store. */
    readonly storeAgeMs: () => number | undefined;
    /** Age by its own reads and those of other instances; undefined until every copy was confirmed by one. */
    readonly copyAgeMs: () => number | undefined;
}
