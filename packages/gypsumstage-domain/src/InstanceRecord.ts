import type { EntryStatus } from "./EntryStatus.js";

/** What an instance tells the others of itself; a later `sequence` replaces an earlier one. */
export interface InstanceRecord {
    readonly name: string;
    readonly launch: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly entryAddress: string;
    /** Where the entry takes requests that other entries forward. */
    readonly peerAddress: string;
    readonly steerAddress: string;
    /** Grows with each record of the launch, also across restarts of its processes. */
    readonly sequence: number;
    /** Lowest generation in force in the roles of the instance; 0 when a role has none. */
    readonly generation: number;
    /** Undefined while the entry process has not been heard of. */
    readonly entry: EntryStatus | undefined;
}
