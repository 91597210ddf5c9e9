import type { ForceVerdict } from "./ForceVerdict.js";
import type { InstanceStatus } from "./InstanceStatus.js";

/** Whether the intent is in force in one data centre. */
export interface DataCentreStatus {
    readonly name: string;
    readonly region: string;
    readonly verdict: ForceVerdict;
    readonly instances: readonly InstanceStatus[];
}
