import type { AgedRecord } from "./AgedRecord.js";
import type { BudgetPlan } from "./BudgetPlan.js";
import type { Configuration } from "./Configuration.js";
import type { Member } from "./Member.js";

/** News for a role; what it has already is left out. */
export interface ViewSyncAnswer {
    readonly configuration: Configuration | undefined;
    readonly members: readonly Member[] | undefined;
    readonly membersVersion: string;
    readonly membersAgeMs: number | undefined;
    readonly records: readonly AgedRecord[];
    readonly plan: BudgetPlan | undefined;
    readonly planAgeMs: number | undefined;
    /** The role holds a later configuration than the steer process and should offer it. */
    readonly isBehind: boolean;
}
