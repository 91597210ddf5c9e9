import type { ConfigurationStatus } from "./ConfigurationStatus.js";
import type { DataCentreStatus } from "./DataCentreStatus.js";
import type { DrainStatus } from "./DrainStatus.js";
import type { Move } from "./Move.js";

/** Whether the intent is in force in the system and in each data centre. */
export interface SystemStatus {
    /** Latest accepted generation that the responding instance has received. */
    readonly accepted: number;
    /** Time since that instance last read it from the platform itself, in milliseconds; undefined if never. */
    readonly acceptedReadAgoMs: number | undefined;
    readonly verdict: ConfigurationStatus;
    readonly dataCentres: readonly DataCentreStatus[];
    readonly drains: readonly DrainStatus[];
    readonly moves: readonly Move[];
}
