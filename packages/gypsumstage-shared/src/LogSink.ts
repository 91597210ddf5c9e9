import type { Writable } from "node:stream";

/** Destination of log entries. */
export interface LogSink {
    readonly stream: Writable;
    /** Returns the number of entries dropped since the last call, and resets it to 0. */
    readonly takeDroppedCount: () => number;
}
