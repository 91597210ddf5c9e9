import type { NoticeTopic } from "./NoticeTopic.js";

/** Sends notices to other instances in rounds. */
export interface GossipRounds {
    /** Adds notices of a topic to the next rounds. */
    readonly spread: (topic: NoticeTopic, keys: readonly string[]) => void;
    readonly stop: () => void;
}
