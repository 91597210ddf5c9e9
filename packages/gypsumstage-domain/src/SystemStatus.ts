import type { DataCentreStatus } from "./DataCentreStatus.js";
import type { DrainStatus } from "./DrainStatus.js";
import type { ForceVerdict } from "./ForceVerdict.js";
import type { Move } from "./Move.js";

/** Whether the intent is in force, by data centre. */
export interface SystemStatus {
    /** The latest accepted generation that the answering instance knows. */
    readonly accepted: number;
    /** How long ago that instance read it from the platform itself, in milliseconds; undefined when never. */
    readonly acceptedReadAgoMs: number | undefined;
    readonly verdict: ForceVerdict;
    readonly dataCentres: readonly DataCentreStatus[];
    readonly drains: readonly DrainStatus[];
    readonly moves: readonly Move[];
}
