import type { EntryStatus } from "@gypsumstage/domain/EntryStatus";
import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";

/** The other roles of the instance, as they report to the steer process. */
export interface LocalRoles {
    /** Status of the entry; undefined when it has not reported recently. */
    readonly entry: () => EntryStatus | undefined;
    /** Lowest generation in force in the roles of the instance. */
    readonly generation: () => number;
    /** Takes a report. */
    readonly report: (req: ViewSyncRequest) => void;
}
