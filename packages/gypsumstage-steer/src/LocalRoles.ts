import type { EntryStatus } from "@gypsumstage/domain/EntryStatus";
import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";

/** Latest reports of the other roles of the instance (entry and lookup) to the steer process. */
export interface LocalRoles {
    /** Returns the status of the entry; undefined when it has not reported recently. */
    readonly entryStatus: () => EntryStatus | undefined;
    /** Returns the lowest generation in force in the roles; 0 when a role has not reported recently. */
    readonly lowestGeneration: () => number;
    /** Records a report. */
    readonly recordReport: (req: ViewSyncRequest) => void;
}
