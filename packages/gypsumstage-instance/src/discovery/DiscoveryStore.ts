import type { Result } from "@gypsumstage/shared/Result";
import type { StoreError } from "../store/StoreError.js";
import type { DiscoveryRecord } from "./DiscoveryRecord.js";
import type { DiscoveryWrite } from "./DiscoveryWrite.js";

/** Access to the discovery record in the platform's store. */
export interface DiscoveryStore {
    /** Reads the record; one that may be some seconds old costs the store less. */
    readonly read: (mayBeOld: boolean) => Promise<Result<DiscoveryRecord, StoreError>>;
    /** Replaces the record if it still has a revision; undefined: if there is none yet. */
    readonly write: (
        addresses: readonly string[],
        revision: number | undefined,
    ) => Promise<Result<DiscoveryWrite, StoreError>>;
    /** Closes the connections; pending calls fail. */
    readonly close: () => Promise<void>;
}
