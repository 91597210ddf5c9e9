import type { InstanceRecord } from "./InstanceRecord.js";

/** Request of a steer process to a peer for the data that it does not have yet. */
export interface ExchangeRequest {
    readonly own: InstanceRecord;
    readonly generation: number;
    /** Sequence number of each record that the requester has, by holder (`INSTANCE.LAUNCH`). */
    readonly sequences: Readonly<Record<string, number>>;
    readonly membersAgeMs: number | undefined;
    readonly planAgeMs: number | undefined;
}
