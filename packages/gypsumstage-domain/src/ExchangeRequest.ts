import type { InstanceRecord } from "./InstanceRecord.js";

/** Request of a steer process to a peer for the data that it does not have yet. */
export interface ExchangeRequest {
    readonly own: InstanceRecord;
    readonly generation: number;
    /** Sequence number of each record that the requester has, by holder (`INSTANCE.LAUNCH`). */
    readonly sequences: Readonly<Record<string, number>>;
    /** Time since the requester's list of members was read, in milliseconds; undefined when it has none. */
    readonly membersAgeMs: number | undefined;
    /** Time since the requester's plan was confirmed, in milliseconds; undefined when it has none. */
    readonly planAgeMs: number | undefined;
}
