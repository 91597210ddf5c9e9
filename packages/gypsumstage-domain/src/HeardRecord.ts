import type { InstanceRecord } from "./InstanceRecord.js";

/** A record with the time at which its instance was last known to be alive. */
export interface HeardRecord extends InstanceRecord {
    /** On the monotonic clock of the process that holds it, in milliseconds. */
    readonly heardAtMs: number;
}
