import type { TimeReading } from "./TimeReading.js";

/** Proof that an instance's copy of the configuration was that of the store at some moment. */
export interface Confirmation {
    /** When this instance began to read the store, or to ask another instance. */
    readonly from: TimeReading;
    /** Age that the other instance stated for its own confirmation, in milliseconds; 0 for a read of the store. */
    readonly addedMs: number;
}
