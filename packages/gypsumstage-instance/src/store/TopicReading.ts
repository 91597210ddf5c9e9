/** When a follower reads its topic from the store. */
export interface TopicReading {
    /** Returns whether this instance is to read the store now. */
    readonly isWanted: () => boolean;
    /** Returns how long the next watch of the topic may wait for a change, in milliseconds. */
    readonly chooseWaitMs: () => number;
    /** Is called when a response has shown that the store is reached. */
    readonly onConfirmed: () => void;
}
