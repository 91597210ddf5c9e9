import type { InstanceRecord } from "./InstanceRecord.js";

/** An instance record with the time at which the instance was last known to be alive. */
export interface TimestampedRecord extends InstanceRecord {
    /** Monotonic time of the process that stores the record, in milliseconds. */
    readonly lastSeenAtMs: number;
}
