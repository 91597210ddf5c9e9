import type { Member } from "@gypsumstage/domain/Member";
import type { Result } from "@gypsumstage/shared/Result";
import type { PlatformError } from "./PlatformError.js";
import type { VersionedObject } from "./VersionedObject.js";
import type { WriteCondition } from "./WriteCondition.js";

/** Interface to the platform: versioned objects, and the eventually consistent list of members. */
export interface Platform {
    /** Reads an object; undefined when it does not exist. */
    readonly read: (key: string) => Promise<Result<VersionedObject | undefined, PlatformError>>;
    /** Writes an object if the condition holds; returns its new version. */
    readonly write: (
        key: string,
        value: unknown,
        condition: WriteCondition,
    ) => Promise<Result<number, PlatformError>>;
    /**
     * Waits until the object's version differs from the given one; undefined when it is unchanged after `waitMs` or the
     * object does not exist.
     */
    readonly watch: (
        key: string,
        version: number,
        waitMs: number,
    ) => Promise<Result<VersionedObject | undefined, PlatformError>>;
    /** Lists the objects whose keys begin with a prefix. */
    readonly list: (prefix: string) => Promise<Result<readonly VersionedObject[], PlatformError>>;
    /** Removes an object if it still has the given version. */
    readonly remove: (key: string, version: number) => Promise<Result<undefined, PlatformError>>;
    /** Reads the list of members: instances and upstream endpoints. */
    readonly readMembers: () => Promise<Result<readonly Member[], PlatformError>>;
    /** Closes the connections. */
    readonly close: () => Promise<void>;
}
