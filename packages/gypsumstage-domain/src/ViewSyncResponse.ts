import type { AgedRecord } from "./AgedRecord.js";
import type { BudgetPlan } from "./BudgetPlan.js";
import type { Configuration } from "./Configuration.js";
import type { Member } from "./Member.js";

/** Response of a steer process to a role of its instance: the data that the role does not have yet. */
export interface ViewSyncResponse {
    readonly configuration: Configuration | undefined;
    readonly members: readonly Member[] | undefined;
    readonly membersVersion: string;
    readonly membersAgeMs: number | undefined;
    readonly records: readonly AgedRecord[];
    readonly plan: BudgetPlan | undefined;
    readonly planAgeMs: number | undefined;
    /** Whether the role has the later configuration; if so, it sends it as `offered` in its next request. */
    readonly isBehind: boolean;
}
