import type { Confirmation } from "@gypsumstage/steering/traffic/Confirmation";
import type { TimeReading } from "@gypsumstage/steering/traffic/TimeReading";

/** Up to when this instance's copy of the configuration is known to be that of the store. */
export interface ConfirmationRecord {
    /** Records a confirmation, unless it is older than the latest one. */
    readonly add: (confirmation: Confirmation) => void;
    /** Age of the latest confirmation at a moment, in milliseconds; undefined when there is none. */
    readonly ageMs: (at: TimeReading) => number | undefined;
    /** Whether a confirming read of the store began after a time on the monotonic clock. */
    readonly isConfirmedSince: (atMs: number) => boolean;
}
