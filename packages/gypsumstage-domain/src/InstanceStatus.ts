import type { ForceVerdict } from "./ForceVerdict.js";

/** Whether the intent is in force in one instance. */
export interface InstanceStatus {
    readonly name: string;
    readonly launch: string | undefined;
    readonly verdict: ForceVerdict;
    readonly generation: number | undefined;
    /** How many generations it is behind the accepted one. */
    readonly behindBy: number | undefined;
    /** How long ago it was last known to be alive, in milliseconds; undefined when it was never heard of. */
    readonly heardAgoMs: number | undefined;
    readonly isLeaving: boolean;
    readonly inFlight: Readonly<Record<string, number>>;
    readonly freeSlots: Readonly<Record<string, number>>;
}
