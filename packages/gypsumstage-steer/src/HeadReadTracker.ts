/** What this process has read of the accepted configuration itself. */
export interface HeadReadTracker {
    /** When the head was last read from the platform, on the clock of this process; undefined when never. */
    readonly readAtMs: () => number | undefined;
    /** Generation of the head at that time. */
    readonly generation: () => number;
    /** Notes a reading. */
    readonly note: (generation: number, readAtMs: number) => void;
}
