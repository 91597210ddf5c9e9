/** Tracks when this process itself last read the configuration head, as opposed to copies received from peers. */
export interface HeadReadTracker {
    /** Monotonic time of the last read of the head from the platform; undefined when it was never read. */
    readonly readAtMs: () => number | undefined;
    /** Generation of the head at the last read; 0 when it was never read. */
    readonly generation: () => number;
    /** Returns whether the last read failed. */
    readonly isPlatformLost: () => boolean;
    readonly recordFailure: () => void;
    /** Records a read, or an accepted write, of the head; `readAtMs` is monotonic time. */
    readonly recordRead: (generation: number, readAtMs: number) => void;
}
