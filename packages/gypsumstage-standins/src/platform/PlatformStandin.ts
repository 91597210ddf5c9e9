import type { Member } from "@gypsumstage/domain/Member";
import type { PlatformFaults } from "./PlatformFaults.js";
import type { StoredObject } from "./StoredObject.js";

/** A running stand-in for the platform. */
export interface PlatformStandin {
    readonly address: string;
    readonly setFaults: (faults: Partial<PlatformFaults>) => void;
    readonly setMembers: (members: readonly Member[]) => void;
    /** Returns the current list of members, without the lag. */
    readonly members: () => readonly Member[];
    /** Returns a snapshot of all objects. */
    readonly save: () => ReadonlyMap<string, StoredObject>;
    /** Replaces all objects by an earlier snapshot, as a restore from a backup does. */
    readonly restore: (saved: ReadonlyMap<string, StoredObject>) => void;
    /** Returns the number of calls by kind: `reads`, `watches`, `writes` and `lists`. A pending watch counts once. */
    readonly getCallCounts: () => Readonly<Record<string, number>>;
    /** Returns the number of watches that are waiting for a change. */
    readonly countPendingWatches: () => number;
    readonly stop: () => Promise<void>;
}
