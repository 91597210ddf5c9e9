import type { Configuration } from "./Configuration.js";
import type { EntryStatus } from "./EntryStatus.js";

/** What a role tells the steer process of its instance when it asks for news. */
export interface ViewSyncRequest {
    readonly role: "entry" | "lookup";
    readonly generation: number;
    readonly membersVersion: string;
    /** Status of the entry; undefined from a look-up process. */
    readonly status: EntryStatus | undefined;
    /** The configuration in force, sent when the steer process asked for it. */
    readonly offered: Configuration | undefined;
}
