import type { InstanceRecord } from "./InstanceRecord.js";

/** An instance record as sent between processes. It has an age, not a time, because their clocks differ. */
export interface AgedRecord extends InstanceRecord {
    /** Time since the instance was last known to be alive, in milliseconds. */
    readonly ageMs: number;
}
