import type { ConfigurationStatus } from "./ConfigurationStatus.js";

/** Whether the intent is in force in an instance. */
export interface InstanceStatus {
    /** Name of the declared place. */
    readonly name: string;
    /** Launch of the latest record; undefined without a record. */
    readonly launch: string | undefined;
    readonly verdict: ConfigurationStatus;
    /** Generation in the latest record; undefined without a record. */
    readonly generation: number | undefined;
    /** Number of generations by which the instance is behind the accepted one. */
    readonly behindBy: number | undefined;
    /** Time since the instance was last known to be alive, in milliseconds; undefined without a record. */
    readonly heardAgoMs: number | undefined;
    readonly isLeaving: boolean;
    readonly inFlight: Readonly<Record<string, number>>;
    readonly freeSlots: Readonly<Record<string, number>>;
}
