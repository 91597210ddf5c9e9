import type { EntryStatus } from "./EntryStatus.js";

/** Status that an instance reports to the others; a record replaces those with a lower `sequence`. */
export interface InstanceRecord {
    readonly name: string;
    readonly launch: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly entryAddress: string;
    /** Address at which the entry accepts requests forwarded by other entries, `IP:port`. */
    readonly peerAddress: string;
    readonly steerAddress: string;
    /** Increases with each record of the launch, also across restarts of its processes. */
    readonly sequence: number;
    /** Lowest generation in force in the roles of the instance; 0 while a role has none or is silent. */
    readonly generation: number;
    /** True after the instance failed to read the platform, until it succeeds; undefined in records of earlier builds. */
    readonly isPlatformLost?: boolean;
    /** Undefined while the entry process has not reported its status recently. */
    readonly entry: EntryStatus | undefined;
}
