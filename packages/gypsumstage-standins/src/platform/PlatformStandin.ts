import type { Member } from "@gypsumstage/domain/Member";
import type { PlatformFaults } from "./PlatformFaults.js";
import type { StoredObject } from "./StoredObject.js";

/** A running stand-in of the platform. */
export interface PlatformStandin {
    readonly address: string;
    readonly setFaults: (faults: Partial<PlatformFaults>) => void;
    readonly setMembers: (members: readonly Member[]) => void;
    readonly members: () => readonly Member[];
    /** Returns a copy of all objects. */
    readonly save: () => ReadonlyMap<string, StoredObject>;
    /** Puts an earlier copy back, as a restore from a backup would. */
    readonly restore: (saved: ReadonlyMap<string, StoredObject>) => void;
    /** Calls served, by kind; waiting watches are counted once. */
    readonly counts: () => Readonly<Record<string, number>>;
    /** Watches that wait now. */
    readonly watchesWaiting: () => number;
    readonly stop: () => Promise<void>;
}
