import type { FleetState } from "../FleetState.js";

/** This instance's copy of the configuration, and what is derived from it. */
export interface PolicyCopy {
    readonly topics: Pick<FleetState["topics"], "policy">;
    readonly view: FleetState["view"];
}
