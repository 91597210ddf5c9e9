import type { ForceVerdict } from "./ForceVerdict.js";
import type { InstanceStatus } from "./InstanceStatus.js";

/** Whether the intent is in force in a data centre, and in each of its instances. */
export interface DataCentreStatus {
    readonly name: string;
    readonly region: string;
    readonly verdict: ForceVerdict;
    readonly instances: readonly InstanceStatus[];
}
