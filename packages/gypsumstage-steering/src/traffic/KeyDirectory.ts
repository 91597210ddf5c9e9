import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";

/** The keys that a configuration accepts. */
export interface KeyDirectory {
    /** Whether requests on routes that aren't public need a key, although there may be none that is accepted. */
    readonly isKeyRequired: boolean;
    /** The workspace of each key, by the key's digest. */
    readonly workspacesByKey: ReadonlyMap<string, Workspace>;
}
