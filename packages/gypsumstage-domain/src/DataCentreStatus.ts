import type { ConfigurationStatus } from "./ConfigurationStatus.js";
import type { InstanceStatus } from "./InstanceStatus.js";

/** Whether the intent is in force in a data centre, and in each of its instances. */
export interface DataCentreStatus {
    readonly name: string;
    readonly region: string;
    readonly verdict: ConfigurationStatus;
    readonly instances: readonly InstanceStatus[];
}
