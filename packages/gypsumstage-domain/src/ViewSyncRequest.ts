import type { Configuration } from "./Configuration.js";
import type { EntryStatus } from "./EntryStatus.js";

/** Request of a role to the steer process of its instance for the data that the role does not have yet. */
export interface ViewSyncRequest {
    readonly role: "entry" | "lookup";
    readonly generation: number;
    readonly membersVersion: string;
    /** Status of the entry; undefined if the role is `lookup`. */
    readonly status: EntryStatus | undefined;
    /** Configuration in force in the role, sent after the steer process reported `isBehind`. */
    readonly offered: Configuration | undefined;
}
