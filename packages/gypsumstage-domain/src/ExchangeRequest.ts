import type { InstanceRecord } from "./InstanceRecord.js";

/** What a steer process tells a peer when it asks for news. */
export interface ExchangeRequest {
    readonly own: InstanceRecord;
    readonly generation: number;
    /** Sequence of each record that the asker holds, by holder name. */
    readonly sequences: Readonly<Record<string, number>>;
    readonly membersAgeMs: number | undefined;
    readonly planAgeMs: number | undefined;
}
