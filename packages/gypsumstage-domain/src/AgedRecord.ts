import type { InstanceRecord } from "./InstanceRecord.js";

/** A record as it travels between processes: clocks differ, so it carries its age. */
export interface AgedRecord extends InstanceRecord {
    readonly ageMs: number;
}
